package lemondrift.recovery;

/**
 * The latest status of a peer.
 *
 * @param status what it said of itself
 * @param receivedAt when that came, in seconds of the proxy's clock
 */
public record PeerObservation(PeerStatus status, double receivedAt) {
    /**
     * Whether another status is of an earlier start of the peer, or an earlier one of this start.
     */
    boolean isNewerThan(PeerStatus other) {
        return other.startNumber() < status.startNumber()
                || (other.startNumber() == status.startNumber()
                        && other.uptimeSeconds() < status.uptimeSeconds());
    }
}
