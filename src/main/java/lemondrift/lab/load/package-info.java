/**
 * An open-loop load generator for one proxy on loopback; latency is measured from when a request
 * was due. Each connection has its own blocking thread.
 */
package lemondrift.lab.load;
