/**
 * Experiments with real proxy processes on loopback: {@link lemondrift.lab.fleet.FleetTestbed}
 * starts, pauses and kills processes, loses and delays their datagrams, and plays clients, backends
 * and discovery on sockets. All of these run on one I/O thread; what is done to processes has a
 * thread of its own, and so has the relay of datagrams. What is judged is what clients and backends
 * saw, not what a proxy says of itself.
 *
 * <p>{@link lemondrift.lab.fleet.FleetRun} plays an experiment's file and {@link
 * lemondrift.lab.fleet.SoakRun} a day that is drawn from a seed. {@code DayPlayer} runs one day;
 * {@code ProxyFleet} has all that exists for the proxies, {@code BackendFleet} the backends, {@code
 * ClientFleet} the clients, and {@code OutcomeRecorder} what they have seen.
 */
package lemondrift.lab.fleet;
