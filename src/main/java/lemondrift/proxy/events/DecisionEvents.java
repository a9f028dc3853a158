package lemondrift.proxy.events;

import java.util.Optional;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Request;
import lemondrift.model.ShedThreshold;

/**
 * What the I/O thread reports to the thread that decides. Each call but {@link #shedThreshold}
 * queues an event, waits only where the queue is full, and not for the event to be handled.
 */
public interface DecisionEvents {
    /** A request was read whole, or as much of it as is buffered. */
    void requestArrived(PendingRequest pending);

    /**
     * The threshold by which a request of this class with so many seconds left would be shed now;
     * empty where it would not be. Any thread.
     */
    Optional<ShedThreshold> shedThreshold(int requestClass, double secondsLeft);

    /**
     * An attempt ended.
     *
     * @param durationSeconds from its sending to its end
     * @param loadReport null where none came
     * @param response the one to deliver if the attempt succeeded; null where none came
     */
    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double[] loadReport,
            BackendResponse response);

    /** A load probe ended; the load report is null where none came. */
    void probeEnded(int backend, AttemptOutcome outcome, double[] loadReport);

    /**
     * Nobody waits for a response any more: the client left, or its request was ended as overdue.
     */
    void requestAbandoned(Request request);

    /** The request's body is no longer buffered whole, so it cannot be sent once more. */
    void bodyNotReplayable(Request request);

    /**
     * A new endpoint list came.
     *
     * @param knownBeforeStart whether it is the one of the configuration, from before the start
     * @param onApplied run on the decisions thread once the balancer has all of the list
     */
    void endpointListReceived(EndpointList list, boolean knownBeforeStart, Runnable onApplied);

    /** A call for the endpoint list failed. */
    void endpointListFailed();

    /** A datagram of another proxy came; it is read at the next iteration. */
    void datagramReceived(int fromProxy, byte[] datagram);
}
