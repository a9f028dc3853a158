/**
 * The adapter of the operators' simulator (command {@code drill}): runs the load balancers of many
 * proxies in one thread of one process. It reads batches of events from standard input, writes the
 * decisions to standard output and does no other I/O. Only this package contains the record codes
 * and the field order of the wire protocol.
 */
package lemondrift.simulator;
