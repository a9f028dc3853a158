package lemondrift.proxy.events;

import java.util.Optional;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Request;
import lemondrift.model.ShedThreshold;

/**
 * What the I/O thread reports to the thread that decides. Each call but {@link #shedThreshold}
 * queues an event and does not wait for it to be handled.
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

    /** The client closed its connection. */
    void clientLeft(Request request);

    /** The request's body is no longer buffered whole, so it cannot be sent once more. */
    void bodyNotReplayable(Request request);

    /**
     * A new endpoint list came.
     *
     * @param stale whether it is one from before the start
     * @param applied run on the decisions thread once the balancer has all of the list
     */
    void endpointListReceived(EndpointList list, boolean stale, Runnable applied);

    /** A call for the endpoint list failed. */
    void endpointListFailed();

    /** A datagram of another proxy came. */
    void datagramReceived(int from, byte[] datagram);
}
