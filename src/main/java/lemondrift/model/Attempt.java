package lemondrift.model;

/** One forward of an exchange to a backend. */
public final class Attempt {
    public final Request exchange;
    public final int backend;
    public final int number;
    public final double sent;
    public final double timeOut;
    /** How many exchanges were thought to be ahead of it there. */
    public final double ahead;
    /** The forward made before this one for the same exchange. */
    public final Attempt earlier;
    public boolean ended;

    public Attempt(Request exchange, int backend, double sent, double timeOut, double ahead) {
        this.exchange = exchange;
        this.backend = backend;
        this.number = exchange.forwards;
        this.sent = sent;
        this.timeOut = timeOut;
        this.ahead = ahead;
        this.earlier = exchange.latest;
    }
}
