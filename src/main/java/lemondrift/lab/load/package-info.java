/**
 * An open-loop load on one proxy on loopback, with latencies counted from when a request was due.
 * One blocking thread for each connection.
 */
package lemondrift.lab.load;
