package lemondrift.gossip;

/**
 * The state of one peer: the attempts that it reported last, and the state of the messages sent to
 * it. Times are in seconds.
 *
 * <p>A start of the peer is identified only by the start bits of its sequence numbers.
 */
final class PeerState {
    /** Used as start bits if they are unknown. */
    private static final int NO_START = -1;

    private static final int[] NO_TAGS = {};

    private int sequenceNumber;
    private int startBits = NO_START;

    /** The start bits of the previous start; messages with these bits are dropped. */
    private int previousStartBits = NO_START;

    /** The tags of the attempts in flight that the peer reported last. */
    private int[] tags = NO_TAGS;

    private double receivedAt = Double.NEGATIVE_INFINITY;

    private int messagesSent;
    private double sentAt = Double.NEGATIVE_INFINITY;

    /** Whether the report for the peer has changed since the last message to it. */
    private boolean reportChanged;

    /** Whether the last message to the peer reported any attempts. */
    private boolean lastReportHadAttempts;

    boolean wasHeardFromWithin(double seconds, double now) {
        return now - receivedAt <= seconds;
    }

    boolean hasReportedAttempts() {
        return tags.length > 0;
    }

    /**
     * Returns whether a message is from the previous start of the peer, or not newer than the last
     * message of its current start.
     */
    boolean isOutdated(int sequenceNumber) {
        int start = GossipDatagram.startBitsOf(sequenceNumber);
        return start == previousStartBits
                || (start == startBits
                        && !GossipDatagram.isAfter(sequenceNumber, this.sequenceNumber));
    }

    /**
     * Applies a message that is not outdated.
     *
     * @param sequenceKnown whether the last message from the peer is recent enough for its start
     *     bits still to be valid
     * @return the tags that the peer had reported before
     */
    int[] update(int sequenceNumber, int[] tags, boolean sequenceKnown, double now) {
        int start = GossipDatagram.startBitsOf(sequenceNumber);
        if (sequenceKnown && start != startBits) {
            previousStartBits = startBits;
        }
        startBits = start;
        this.sequenceNumber = sequenceNumber;
        receivedAt = now;
        return replaceTags(tags);
    }

    /**
     * Drops the report from before a restart of the peer.
     *
     * @return the tags that the peer had reported before
     */
    int[] handleRestart(int newStartBits) {
        // Guards against dropping messages of the new start if both starts have the same bits.
        boolean distinct = startBits != newStartBits;
        previousStartBits = distinct ? startBits : NO_START;
        startBits = distinct ? newStartBits : NO_START;
        sequenceNumber = 0;
        return clearTags();
    }

    /** Removes the reported tags and returns them. */
    int[] clearTags() {
        return replaceTags(NO_TAGS);
    }

    private int[] replaceTags(int[] next) {
        int[] before = tags;
        tags = next;
        return before;
    }

    /** Records that the report for the peer has changed. */
    void markReportChanged() {
        reportChanged = true;
    }

    /**
     * Returns when the next message to the peer is due, in seconds; infinite if the report has not
     * changed and the last message reported no attempts.
     *
     * @param minIntervalSeconds the time after the last message if the report has changed
     * @param repeatIntervalSeconds the time after the last message if the report has not changed
     */
    double nextSendAt(double minIntervalSeconds, double repeatIntervalSeconds) {
        if (reportChanged) {
            return sentAt + minIntervalSeconds;
        }
        return lastReportHadAttempts ? sentAt + repeatIntervalSeconds : Double.POSITIVE_INFINITY;
    }

    /** Returns the counter of the next message to the peer; the first one is 1. */
    int nextCounter() {
        return ++messagesSent;
    }

    /**
     * Records that a message to the peer was created.
     *
     * @param hadAttempts whether the message reported any attempts
     */
    void messageSent(boolean hadAttempts, double now) {
        reportChanged = false;
        lastReportHadAttempts = hadAttempts;
        sentAt = now;
    }
}
