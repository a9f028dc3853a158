/**
 * The same experiments with real proxy processes on loopback: starts, pauses and kills processes,
 * loses and delays their datagrams, and plays backends, discovery and clients on sockets. All of it
 * runs on one I/O thread; what is judged is what clients and backends saw, not what a proxy says of
 * itself.
 */
package lemondrift.lab.fleet;
