package lemondrift.model;

/**
 * One backend of a list; started is 0 where it started long ago or is not told. It is fresh where
 * the index has not stood for it so far, and nothing known of the index holds. The lot is what this
 * proxy has drawn for it, where others know of that, and used the share of all proxies that use it,
 * this one among them; 0 where this one does not use it or that is not known.
 */
public record EndpointUpdate(
        int backend,
        boolean newBackend,
        int location,
        int cell,
        State state,
        double startedAt,
        double weight,
        double subsetScore,
        double userShare) {
    /** Danger: a size that is no positive number would make service times none. */
    public EndpointUpdate {
        weight = weight > 0 && weight < Double.POSITIVE_INFINITY ? weight : 1;
    }

    /** One for which no lot was drawn. */
    public EndpointUpdate(
            int backend,
            boolean fresh,
            int location,
            int cell,
            State state,
            double started,
            double size) {
        this(backend, fresh, location, cell, state, started, size, 0, 0);
    }

    /** One whose size is not told. */
    public EndpointUpdate(
            int backend, boolean fresh, int location, int cell, State state, double started) {
        this(backend, fresh, location, cell, state, started, 1);
    }

    /** The same, its size counting only where sizes hold. */
    public EndpointUpdate withWeightIf(boolean hold) {
        return hold
                ? this
                : new EndpointUpdate(
                        backend,
                        newBackend,
                        location,
                        cell,
                        state,
                        startedAt,
                        1,
                        subsetScore,
                        userShare);
    }

    /** The same with a lot, and by which share of the proxies it is used. */
    public EndpointUpdate withSubset(double lot, double used) {
        return new EndpointUpdate(
                backend, newBackend, location, cell, state, startedAt, weight, lot, used);
    }

    /** The same told again. */
    public EndpointUpdate asKnownBackend() {
        return new EndpointUpdate(
                backend, false, location, cell, state, startedAt, weight, subsetScore, userShare);
    }

    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
