/**
 * The adapter of the operators' simulator (command {@code drill}): many proxies' load balancers in
 * one process of one thread, driven by batches on standard input, their decisions on standard
 * output. It does no other I/O, and the wire's record codes and field order stand here alone.
 */
package lemondrift.simulator;
