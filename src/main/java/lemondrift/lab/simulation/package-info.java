/**
 * The simulation of one scenario in virtual time: clients, proxies, backends and discovery on one
 * scheduler, faults, and a referee that checks the four rules and fails the run at the first
 * violation. The same seed gives exactly the same events. There is no I/O, no thread and no clock
 * except the scheduler's.
 */
package lemondrift.lab.simulation;
