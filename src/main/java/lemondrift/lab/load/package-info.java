/**
 * An open-loop load on one proxy on loopback, with latencies counted from when a request was due.
 * One I/O thread.
 */
package lemondrift.lab.load;
