package lemondrift.proxy.events;

import java.util.Optional;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Request;
import lemondrift.model.ShedThreshold;

/**
 * The events that the I/O thread reports to the decision thread. Each method except {@link
 * #shedThreshold} queues an event and returns without waiting for the event to be handled; it
 * blocks only while the queue is full.
 */
public interface DecisionEvents {
    /** A request was completely read, or as much of it as is buffered. */
    void requestArrived(PendingRequest pending);

    /**
     * Returns the threshold by which a request of this class would be shed now; empty if it would
     * not be shed. Any thread.
     *
     * @param secondsLeft seconds left until the request's latency objective or its deadline,
     *     whichever is earlier; it has no attempt deadline before it reaches the balancer
     */
    Optional<ShedThreshold> shedThreshold(int requestClass, double secondsLeft);

    /**
     * An attempt ended.
     *
     * @param durationSeconds the time from its sending to its end
     * @param loadReport null if the response carried none
     * @param response the response, to be delivered if the attempt succeeded; null if there was
     *     none
     */
    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double[] loadReport,
            BackendResponse response);

    /**
     * A load probe ended.
     *
     * @param loadReport null if the response carried none
     */
    void probeEnded(int backend, AttemptOutcome outcome, double[] loadReport);

    /**
     * No client waits for the response any longer: the client left, or the request was ended as
     * overdue.
     */
    void requestAbandoned(Request request);

    /** The body of the request is no longer completely buffered, so it cannot be sent again. */
    void bodyNotReplayable(Request request);

    /**
     * A new endpoint list was received.
     *
     * @param knownBeforeStart whether the list is the one in the configuration, which was known
     *     before the process started
     * @param onApplied runs on the decision thread once the balancer has the whole list
     */
    void endpointListReceived(EndpointList list, boolean knownBeforeStart, Runnable onApplied);

    /** A call for the endpoint list failed. */
    void endpointListFailed();

    /**
     * A datagram was received from another proxy; it is processed in the next iteration of the
     * decision loop.
     */
    void datagramReceived(int fromProxy, byte[] datagram);
}
