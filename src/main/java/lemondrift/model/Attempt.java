package lemondrift.model;

/** One attempt to have a request answered by a backend. */
public final class Attempt {
    public final Request request;

    /** The index of the backend. */
    public final int backend;

    /** How many attempts the request had before this one; above 0 it is a retry. */
    public final int index;

    public final double sentAt;

    /** How long the backend may take, counted from {@link #sentAt}. */
    public final double timeoutSeconds;

    /** How many requests were thought to be ahead of it at the backend. */
    public final double queueAhead;

    /** The attempt made before this one for the same request; null for the first. */
    public final Attempt previous;

    /** Whether its end has been heard. */
    public boolean ended;

    /** The next attempt of a request; the request does not count it yet. */
    public Attempt(
            Request request, int backend, double sentAt, double timeoutSeconds, double queueAhead) {
        this.request = request;
        this.backend = backend;
        this.index = request.attemptCount;
        this.sentAt = sentAt;
        this.timeoutSeconds = timeoutSeconds;
        this.queueAhead = queueAhead;
        this.previous = request.latestAttempt;
    }
}
