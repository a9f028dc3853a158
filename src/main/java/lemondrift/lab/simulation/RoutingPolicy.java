package lemondrift.lab.simulation;

import java.util.List;
import lemondrift.gossip.LoadGossip;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;

/**
 * The decisions of one proxy: the decision module, or a baseline in its place. All times are in
 * seconds. A decision that is returned may be reused at the next call.
 */
public interface RoutingPolicy {
    /** The proxy has accepted a request. */
    Decision requestArrived(double now, Request request);

    /**
     * An attempt has ended.
     *
     * @param durationSeconds since the attempt was sent
     * @param completed whether its request has its final response
     * @param loadReport the load report that came with the response; null where none did
     */
    Decision attemptEnded(
            double now,
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            boolean completed,
            double[] loadReport);

    /** A probe has ended; the load report is null where none came. */
    Decision probeEnded(double now, int backend, AttemptOutcome outcome, double[] loadReport);

    /**
     * Discovery has sent endpoints.
     *
     * @param isFullList whether it is the full list; else changes of it
     */
    Decision endpointsListed(double now, boolean isFullList, List<EndpointUpdate> updates);

    /** The time has come that a decision asked to be woken at, or that of the next message. */
    Decision wake(double now);

    /** The gossip messages that are to be sent to other proxies now. */
    default List<LoadGossip.Message> takeDueMessages(double now) {
        return List.of();
    }

    /** When the next gossip message is due; infinite where none is. */
    default double nextSendAt() {
        return Double.POSITIVE_INFINITY;
    }

    /** A gossip message of another proxy has come. */
    default void datagramReceived(double now, int from, byte[] datagram) {}
}
