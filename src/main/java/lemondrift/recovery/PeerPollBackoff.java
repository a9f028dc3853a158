package lemondrift.recovery;

/**
 * How a proxy that has started asks the others.
 *
 * @param ask seconds until it asks again, growing by as much each time
 * @param bound seconds after which it goes by who has answered
 * @param forget seconds after which what was heard counts no more
 * @param fanout how many it asks at a time
 * @param enough own answers by which it knows for itself
 */
public record PeerPollBackoff(double ask, double bound, double forget, int fanout, int enough) {
    /** The usual one where the shortest contract time is so many seconds. */
    public static PeerPollBackoff of(double window) {
        return new PeerPollBackoff(0.1 * window, window, 8 * window, 6, 8);
    }

    public PeerPollBackoff {
        if (!(ask > 0) || !(bound > 0) || !(forget >= bound) || fanout < 1 || enough < 1) {
            throw new IllegalArgumentException("a pace that cannot be");
        }
    }
}
