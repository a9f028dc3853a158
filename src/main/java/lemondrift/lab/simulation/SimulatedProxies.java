package lemondrift.lab.simulation;

import java.util.List;
import lemondrift.gossip.LoadGossip;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The proxies of a simulation: passes events to their routing policies, carries out the decisions,
 * and delivers gossip between proxies.
 */
final class SimulatedProxies {
    /** The mean network delay of a gossip message, in seconds. */
    private static final double GOSSIP_DELAY_SECONDS = 0.01;

    /** The share of the gossip messages that are lost, 0 to 1. */
    private static final double GOSSIP_LOSS_SHARE = 0.01;

    private final RoutingPolicy[] policies;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final SimulationRecorder recorder;

    /** The alarm that each policy has requested; null if it has requested none. */
    private final Scheduler.Entry[] wakeAlarms;

    private SimulatedClients clients;
    private SimulatedTransport transport;

    SimulatedProxies(
            RoutingPolicy[] policies,
            Scheduler scheduler,
            UniformRandomProvider random,
            SimulationRecorder recorder) {
        this.policies = policies;
        this.scheduler = scheduler;
        this.random = random;
        this.recorder = recorder;
        wakeAlarms = new Scheduler.Entry[policies.length];
    }

    /**
     * Connects the proxies to the clients and the transport, whose constructors need this object.
     */
    void connect(SimulatedClients clients, SimulatedTransport transport) {
        this.clients = clients;
        this.transport = transport;
    }

    int count() {
        return policies.length;
    }

    void requestArrived(int proxy, Request request) {
        carryOut(proxy, policies[proxy].requestArrived(scheduler.now(), request));
    }

    /**
     * Passes the end of an attempt to its proxy.
     *
     * @param completed whether the request has its final response
     * @param loadReport the load report in the response; null if there was none
     */
    void attemptEnded(
            int proxy,
            Attempt attempt,
            AttemptOutcome outcome,
            boolean completed,
            double[] loadReport) {
        double now = scheduler.now();
        carryOut(
                proxy,
                policies[proxy].attemptEnded(
                        now, attempt, outcome, now - attempt.sentAt, completed, loadReport));
    }

    /** Passes the end of a probe to its proxy; the load report is null if there was none. */
    void probeEnded(int proxy, int backend, AttemptOutcome outcome, double[] loadReport) {
        carryOut(proxy, policies[proxy].probeEnded(scheduler.now(), backend, outcome, loadReport));
    }

    /** Passes the full endpoint list, or changes of it, to a proxy. */
    void endpointsListed(int proxy, boolean full, List<EndpointUpdate> updates) {
        carryOut(proxy, policies[proxy].endpointsListed(scheduler.now(), full, updates));
    }

    private void wake(int proxy) {
        carryOut(proxy, policies[proxy].wake(scheduler.now()));
    }

    private void carryOut(int proxy, Decision decision) {
        // The policy may reuse the decision object at the next call, so its content is copied
        // first.
        List<Attempt> cancellations = List.copyOf(decision.cancellations);
        List<Attempt> attempts = List.copyOf(decision.attempts);
        List<Decision.LocalReply> localReplies = List.copyOf(decision.localReplies);
        List<Integer> probes = List.copyOf(decision.probes);
        double wakeAt = decision.wakeAt;
        sendGossip(proxy);
        setWakeAlarm(proxy, Math.min(wakeAt, policies[proxy].nextSendAt()));
        cancellations.forEach(transport::cancel);
        attempts.forEach(attempt -> transport.send(proxy, attempt));
        localReplies.forEach(reply -> sendLocalReply(proxy, reply));
        probes.forEach(backend -> transport.probe(proxy, backend));
    }

    private void setWakeAlarm(int proxy, double wakeAt) {
        if (wakeAlarms[proxy] != null) {
            wakeAlarms[proxy].cancel();
        }
        wakeAlarms[proxy] =
                wakeAt == Double.POSITIVE_INFINITY ? null : scheduler.at(wakeAt, () -> wake(proxy));
    }

    private void sendLocalReply(int proxy, Decision.LocalReply reply) {
        if (reply.rejected()) {
            clients.rejected(proxy, reply.request(), reply.retryAfterSeconds());
        } else {
            clients.failed(proxy, reply.request());
        }
    }

    private void sendGossip(int proxy) {
        for (LoadGossip.Message message : policies[proxy].takeDueMessages(scheduler.now())) {
            recorder.recordGossip(message.datagram());
            if (random.nextDouble() >= GOSSIP_LOSS_SHARE) {
                scheduler.after(
                        RandomDelay.drawAround(GOSSIP_DELAY_SECONDS, random),
                        () -> receiveGossip(message.to(), proxy, message.datagram()));
            }
        }
    }

    private void receiveGossip(int proxy, int from, byte[] datagram) {
        policies[proxy].datagramReceived(scheduler.now(), from, datagram);
        if (policies[proxy].nextSendAt() <= scheduler.now()) {
            wake(proxy);
        }
    }
}
