package lemondrift.model;

/**
 * One backend as given in an endpoint list.
 *
 * @param backend the index of the backend
 * @param newBackend whether the index did not stand for this backend before, so that earlier state
 *     of the index does not apply
 * @param location the index of its zone
 * @param cell its cell within the zone
 * @param startedAt when it started, in seconds; 0 if that is long ago or not known
 * @param weight its capacity relative to the other backends; positive
 * @param subsetScore its score (0 to 1) at this proxy: a proxy uses the backends with its lowest
 *     scores; 0 if it has no score
 * @param userShare the share (0 to 1) of the proxies that use it, including this one; 0 if this
 *     proxy does not use it or the share is not known
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
        /** The backend takes new requests. */
        READY,
        /** The backend finishes the requests that it has and takes no new ones. */
        DRAINING,
        /** The backend no longer exists. */
        GONE
    }

    /**
     * Replaces a weight that is not a positive finite number with 1. Guards against unusable
     * service times.
     */
    public EndpointUpdate {
        weight = weight > 0 && weight < Double.POSITIVE_INFINITY ? weight : 1;
    }

    /** Creates an update without a subset score. */
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

    /** Creates an update without a subset score and with weight 1. */
    public EndpointUpdate(
            int backend,
            boolean newBackend,
            int location,
            int cell,
            State state,
            double startedAt) {
        this(backend, newBackend, location, cell, state, startedAt, 1);
    }

    /** Returns this update, with weight 1 if weights do not count. */
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

    /**
     * Returns this update with a subset score and the share of the proxies that use the backend.
     */
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

    /** Returns this update, marked as one for a backend that its index already stood for. */
    public EndpointUpdate asKnownBackend() {
        return new EndpointUpdate(
                backend, false, location, cell, state, startedAt, weight, subsetScore, userShare);
    }
}
