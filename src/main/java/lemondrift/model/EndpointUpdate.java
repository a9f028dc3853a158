package lemondrift.model;

/**
 * One backend as an endpoint list gives it.
 *
 * @param backend its index
 * @param newBackend whether the index did not stand for it before, so that nothing known of the
 *     index holds
 * @param location its zone
 * @param cell its cell, within the zone
 * @param startedAt when it started, in seconds; 0 where that is long ago or not known
 * @param weight its capacity relative to the others'; positive
 * @param subsetScore what this proxy has drawn for it (0 to 1): a proxy uses the backends of its
 *     lowest scores; 0 where none was drawn
 * @param userShare the share (0 to 1) of the proxies that use it, this one among them; 0 where this
 *     one does not or that is not known
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
    /** Whether a backend may be given requests. */
    public enum State {
        /** It takes new requests. */
        READY,
        /** It finishes what it has and takes nothing new. */
        DRAINING,
        /** It is no longer there. */
        GONE
    }

    /** Guards against service times of none: a weight that is no positive number counts as 1. */
    public EndpointUpdate {
        weight = weight > 0 && weight < Double.POSITIVE_INFINITY ? weight : 1;
    }

    /** One without a subset score. */
    public EndpointUpdate(
            int backend,
            boolean newBackend,
            int location,
            int cell,
            State state,
            double startedAt,
            double weight) {
        this(backend, newBackend, location, cell, state, startedAt, weight, 0, 0);
    }

    /** One without a subset score or weight. */
    public EndpointUpdate(
            int backend,
            boolean newBackend,
            int location,
            int cell,
            State state,
            double startedAt) {
        this(backend, newBackend, location, cell, state, startedAt, 1);
    }

    /** The same, with weight 1 where weights do not count. */
    public EndpointUpdate withWeightIf(boolean weightsCount) {
        return weightsCount
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

    /** The same with a subset score and the share of the proxies that use it. */
    public EndpointUpdate withSubset(double subsetScore, double userShare) {
        return new EndpointUpdate(
                backend,
                newBackend,
                location,
                cell,
                state,
                startedAt,
                weight,
                subsetScore,
                userShare);
    }

    /** The same, at an index where it stood before. */
    public EndpointUpdate asKnownBackend() {
        return new EndpointUpdate(
                backend, false, location, cell, state, startedAt, weight, subsetScore, userShare);
    }
}
