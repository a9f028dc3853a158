package lemondrift.model;

/** One forward of an exchange to a backend. */
public final class Attempt {
    public final Request request;
    public final int backend;
    public final int index;
    public final double sentAt;
    public final double timeoutSeconds;

    /** How many exchanges were thought to be ahead of it there. */
    public final double queueAhead;

    /** The forward made before this one for the same exchange. */
    public final Attempt previous;

    public boolean ended;

    public Attempt(Request exchange, int backend, double sent, double timeOut, double ahead) {
        this.request = exchange;
        this.backend = backend;
        this.index = exchange.attemptCount;
        this.sentAt = sent;
        this.timeoutSeconds = timeOut;
        this.queueAhead = ahead;
        this.previous = exchange.latestAttempt;
    }
}
