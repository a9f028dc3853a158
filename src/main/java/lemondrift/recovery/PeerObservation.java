package lemondrift.recovery;

/** The latest word of another proxy, and when it came. */
public record PeerObservation(PeerStatus hello, double at) {
    /** Whether it was said by an earlier self of the same proxy, or before this by the same one. */
    boolean isAfter(PeerStatus other) {
        return other.start() < hello.start()
                || (other.start() == hello.start() && other.up() < hello.up());
    }
}
