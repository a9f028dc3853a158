/**
 * The process's log: lines are written by a thread of their own, so that a slow reader of standard
 * error holds up no request, and requests that are not served are logged at a bounded rate.
 */
package lemondrift.proxy.logging;
