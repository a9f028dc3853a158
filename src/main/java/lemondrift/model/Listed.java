package lemondrift.model;

/**
 * One backend of a list; started is 0 where it started long ago or is not told. It is fresh where the index
 * has not stood for it so far, and nothing known of the index holds.
 */
public record Listed(int backend, boolean fresh, int location, int cell, State state, double started,
        double size) {
    /** One whose size is not told. */
    public Listed(int backend, boolean fresh, int location, int cell, State state, double started) {
        this(backend, fresh, location, cell, state, started, 1);
    }

    public enum State { READY, DRAINING, GONE }
}
