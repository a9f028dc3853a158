package lemondrift.lab.simulation;

import java.util.List;
import lemondrift.gossip.LoadGossip;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;

/**
 * Makes the decisions of one proxy: the decision module, or a baseline in its place. All times are
 * in seconds. A returned decision object may be reused by the next call.
 */
public interface RoutingPolicy {
    /** Decides about a request that the proxy has accepted. */
    Decision requestArrived(double now, Request request);

    /**
     * Handles the end of an attempt.
     *
     * @param durationSeconds time since the attempt was sent
     * @param completed whether the request has its final response
     * @param loadReport the load report in the response; null if there was none
     */
    Decision attemptEnded(
            double now,
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            boolean completed,
            double[] loadReport);

    /** Handles the end of a probe; the load report is null if there was none. */
    Decision probeEnded(double now, int backend, AttemptOutcome outcome, double[] loadReport);

    /**
     * Applies endpoints sent by discovery.
     *
     * @param isFullList whether the updates are the full list; if false, they are changes
     */
    Decision endpointsListed(double now, boolean isFullList, List<EndpointUpdate> updates);

    /** Handles the wake time that a decision requested, or the time of the next gossip message. */
    Decision wake(double now);

    /**
     * Returns the gossip messages that are due for sending to other proxies; empty if there are
     * none.
     */
    default List<LoadGossip.Message> takeDueMessages(double now) {
        return List.of();
    }

    /** Returns when the next gossip message is due; infinite if none is scheduled. */
    default double nextSendAt() {
        return Double.POSITIVE_INFINITY;
    }

    /** Handles a gossip message from another proxy. */
    default void datagramReceived(double now, int from, byte[] datagram) {}
}
