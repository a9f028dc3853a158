package lemondrift.model;

/**
 * One backend of a list; started is 0 where it started long ago or is not told. It is fresh where the index
 * has not stood for it so far, and nothing known of the index holds.
 */
public record Listed(int backend, boolean fresh, int location, int cell, State state, double started,
        double size) {
    /** Danger: a size that is no positive number would make service times none. */
    public Listed {
        size = size > 0 && size < Double.POSITIVE_INFINITY ? size : 1;
    }

    /** One whose size is not told. */
    public Listed(int backend, boolean fresh, int location, int cell, State state, double started) {
        this(backend, fresh, location, cell, state, started, 1);
    }

    public enum State { READY, DRAINING, GONE }
}
