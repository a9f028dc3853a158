package lemondrift.recovery;

/**
 * The latest status received from a peer.
 *
 * @param status the status that the peer reported
 * @param receivedAt when the status was received, in seconds of the proxy's clock
 */
public record PeerObservation(PeerStatus status, double receivedAt) {
    /**
     * Returns whether this observation is newer than a status: the status is from an earlier start
     * of the peer, or was sent earlier within the same start.
     */
    boolean isNewerThan(PeerStatus other) {
        return other.startNumber() < status.startNumber()
                || (other.startNumber() == status.startNumber()
                        && other.uptimeSeconds() < status.uptimeSeconds());
    }
}
