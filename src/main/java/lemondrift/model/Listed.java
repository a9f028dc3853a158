package lemondrift.model;

/** One backend of a list; started is 0 where it started long ago or is not told. */
public record Listed(int backend, int location, int cell, State state, double started) {
    public enum State { READY, DRAINING, GONE }
}
