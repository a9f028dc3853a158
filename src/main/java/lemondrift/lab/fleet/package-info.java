/**
 * Experiments with real proxy processes on loopback: {@link lemondrift.lab.fleet.FleetTestbed}
 * starts, pauses and kills processes, loses and delays their datagrams, and simulates clients,
 * backends and discovery on sockets. All of these run on one I/O thread. Operations on processes
 * have their own thread, and so has the datagram relay. The rules are checked against the events
 * that clients, backends and discovery observe, not against what a proxy reports about itself.
 *
 * <p>{@link lemondrift.lab.fleet.FleetRun} executes an experiment file and {@link
 * lemondrift.lab.fleet.SoakRun} a run that is drawn from a seed. {@code TestbedRunner} executes one
 * run. {@code ProxyFleet} contains the proxies with their discovery agents and datagram relay,
 * {@code BackendFleet} the backends, {@code ClientFleet} the clients, and {@code OutcomeRecorder}
 * the events that they observe.
 */
package lemondrift.lab.fleet;
