package lemondrift.model;

/** One attempt to have a request answered by a backend. */
public final class Attempt {
    public final Request request;

    /** The index of the backend. */
    public final int backend;

    /** The number of attempts of the request before this one; above 0 for a retry. */
    public final int index;

    public final double sentAt;

    /** How long the backend may take, counted from {@link #sentAt}. */
    public final double timeoutSeconds;

    /** The estimated number of requests that were ahead of it at the backend. */
    public final double queueAhead;

    /**
     * The time before which its last byte must be written; infinite unless it repeats an attempt
     * that may have been executed, which backends recognize for a limited time only.
     */
    public final double sendBefore;

    /** The previous attempt of the same request; null for the first. */
    public final Attempt previous;

    /** Whether the balancer has handled its end. */
    public boolean ended;

    /** Creates the next attempt of a request, which may be written at any time. */
    public Attempt(
            Request request, int backend, double sentAt, double timeoutSeconds, double queueAhead) {
        this(request, backend, sentAt, timeoutSeconds, queueAhead, Double.POSITIVE_INFINITY);
    }

    /** Creates the next attempt of a request. Does not change the request's own counts. */
    public Attempt(
            Request request,
            int backend,
            double sentAt,
            double timeoutSeconds,
            double queueAhead,
            double sendBefore) {
        this.request = request;
        this.backend = backend;
        this.index = request.attemptCount;
        this.sentAt = sentAt;
        this.timeoutSeconds = timeoutSeconds;
        this.queueAhead = queueAhead;
        this.sendBefore = sendBefore;
        this.previous = request.latestAttempt;
    }
}
