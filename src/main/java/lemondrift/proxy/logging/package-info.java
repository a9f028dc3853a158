/**
 * The log of the process. Lines are written by a separate thread, so that a slow reader of standard
 * error does not delay requests. Requests that are not served are logged at a limited rate.
 */
package lemondrift.proxy.logging;
