package lemondrift.proxy.events;

import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Request;
import lemondrift.model.ShedThreshold;

/**
 * What the I/O thread tells the thread that decides. Each call queues the event; none waits for it.
 */
public interface DecisionEvents {
    /** A request was read whole, or as much of it as is buffered. */
    void requestArrived(PendingRequest pending);

    /**
     * What would be shed of a request class now; null where a request with this much time left is
     * not.
     */
    ShedThreshold shedThreshold(int requestClass, double secondsLeft);

    /**
     * An attempt ended; the response is the one to deliver if it succeeded. The load report may be
     * null.
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
     * An endpoint list came; stale is one from before the start. Applied is run once all of it
     * holds.
     */
    void endpointListReceived(EndpointList list, boolean stale, Runnable applied);

    /** A call for the endpoint list failed. */
    void endpointListFailed();

    /** A datagram of another proxy came. */
    void datagramReceived(int from, byte[] datagram);
}
