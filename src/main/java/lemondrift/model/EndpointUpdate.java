package lemondrift.model;

/**
 * One backend of a list; started is 0 where it started long ago or is not told. It is fresh where the index
 * has not stood for it so far, and nothing known of the index holds. The lot is what this proxy has drawn
 * for it, where others know of that, and used the share of all proxies that use it, this one among them; 0
 * where this one does not use it or that is not known.
 */
public record EndpointUpdate(int backend, boolean fresh, int location, int cell, State state, double started,
        double size, double lot, double used) {
    /** Danger: a size that is no positive number would make service times none. */
    public EndpointUpdate {
        size = size > 0 && size < Double.POSITIVE_INFINITY ? size : 1;
    }

    /** One for which no lot was drawn. */
    public EndpointUpdate(int backend, boolean fresh, int location, int cell, State state, double started,
            double size) {
        this(backend, fresh, location, cell, state, started, size, 0, 0);
    }

    /** One whose size is not told. */
    public EndpointUpdate(int backend, boolean fresh, int location, int cell, State state, double started) {
        this(backend, fresh, location, cell, state, started, 1);
    }

    /** The same, its size counting only where sizes hold. */
    public EndpointUpdate sized(boolean hold) {
        return hold ? this : new EndpointUpdate(backend, fresh, location, cell, state, started, 1, lot, used);
    }

    /** The same with a lot, and by which share of the proxies it is used. */
    public EndpointUpdate drawn(double lot, double used) {
        return new EndpointUpdate(backend, fresh, location, cell, state, started, size, lot, used);
    }

    /** The same told again. */
    public EndpointUpdate again() {
        return new EndpointUpdate(backend, false, location, cell, state, started, size, lot, used);
    }

    public enum State { READY, DRAINING, GONE }
}
