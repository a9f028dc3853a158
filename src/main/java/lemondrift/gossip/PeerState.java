package lemondrift.gossip;

/**
 * One peer: what it reported last, and what was sent to it last. Times are in seconds.
 *
 * <p>The peer's start is known by the start bits of its sequence numbers only.
 */
final class PeerState {
    /** In place of start bits where none are known. */
    private static final int NO_START = -1;

    private static final int[] NO_TAGS = {};

    private int sequenceNumber;
    private int startBits = NO_START;

    /** Of the start before, whose messages that still come are dropped. */
    private int previousStartBits = NO_START;

    /** Of the peer's attempts in flight, as it reported them last. */
    private int[] tags = NO_TAGS;

    private double receivedAt = Double.NEGATIVE_INFINITY;

    private int messagesSent;
    private double sentAt = Double.NEGATIVE_INFINITY;

    /** Whether what concerns the peer has changed since the last message to it. */
    private boolean reportChanged;

    /** Whether the last message to it reported any attempt. */
    private boolean lastReportHadAttempts;

    boolean wasHeardFromWithin(double seconds, double now) {
        return now - receivedAt <= seconds;
    }

    boolean hasReportedAttempts() {
        return tags.length > 0;
    }

    /** Whether a message is of the start before, or no newer than the last of this start. */
    boolean isOutdated(int sequenceNumber) {
        int start = GossipDatagram.startBitsOf(sequenceNumber);
        return start == previousStartBits
                || (start == startBits
                        && !GossipDatagram.isAfter(sequenceNumber, this.sequenceNumber));
    }

    /**
     * Takes over a message that is not outdated.
     *
     * @param sequenceKnown whether the peer was heard lately enough to know its start
     * @return the tags reported before
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
     * The peer has restarted, so what it reported before is over.
     *
     * @return the tags reported before
     */
    int[] handleRestart(int newStartBits) {
        // Guards against dropping the new start's messages where both starts share their bits.
        boolean distinct = startBits != newStartBits;
        previousStartBits = distinct ? startBits : NO_START;
        startBits = distinct ? newStartBits : NO_START;
        sequenceNumber = 0;
        return clearTags();
    }

    /** Drops the tags, and returns them. */
    int[] clearTags() {
        return replaceTags(NO_TAGS);
    }

    private int[] replaceTags(int[] next) {
        int[] before = tags;
        tags = next;
        return before;
    }

    /** What is to be reported to the peer has changed. */
    void markReportChanged() {
        reportChanged = true;
    }

    /**
     * When the next message to the peer is due.
     *
     * @param minIntervalSeconds after the last one where something has changed
     * @param repeatIntervalSeconds after the last one where nothing has, if it reported any attempt
     */
    double nextSendAt(double minIntervalSeconds, double repeatIntervalSeconds) {
        if (reportChanged) {
            return sentAt + minIntervalSeconds;
        }
        return lastReportHadAttempts ? sentAt + repeatIntervalSeconds : Double.POSITIVE_INFINITY;
    }

    /** Counts the next message to the peer, from 1 on. */
    int nextCounter() {
        return ++messagesSent;
    }

    /** A message to the peer has been made, which reports some attempts or none. */
    void messageSent(boolean hadAttempts, double now) {
        reportChanged = false;
        lastReportHadAttempts = hadAttempts;
        sentAt = now;
    }
}
