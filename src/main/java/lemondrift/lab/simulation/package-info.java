/**
 * One experiment in virtual time: clients, proxies, backends and discovery on one scheduler,
 * faults, and a referee that checks the four rules and fails the run at the first broken one. The
 * same seed gives the same run to the last event. No I/O, no threads, no clock but the scheduler's.
 */
package lemondrift.lab.simulation;
