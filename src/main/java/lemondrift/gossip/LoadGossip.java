package lemondrift.gossip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;
import java.util.zip.CRC32;

/**
 * Exchanges the attempts in flight among the proxies of a fleet, in datagrams. When the attempts of
 * a proxy change, it sends each peer the backends of its attempts in flight, limited to the
 * backends that the peer uses ({@link SubsetAssignment}) and to a maximum rate. The amount of data
 * that a proxy sends therefore does not grow with the number of proxies. A message contains the
 * current state, not a change, so a lost or duplicate message does no harm. Messages identify a
 * backend by a tag derived from its id. Times are in seconds of one clock.
 */
public final class LoadGossip {
    /** Maximum size of a datagram, in bytes. */
    public static final int MAX_DATAGRAM_BYTES = GossipDatagram.MAX_BYTES;

    /**
     * The start and the sequence number of a silent peer are kept for this multiple of the expiry
     * time.
     */
    private static final double SEQUENCE_MEMORY_EXPIRIES = 2;

    /** An abandoned attempt counts as in flight for this share of the expiry time. */
    private static final double ABANDONED_EXPIRY_SHARE = 0.125;

    /** An unchanged report is sent again after this share of the expiry time. */
    private static final double REPEAT_EXPIRY_SHARE = 0.4;

    /**
     * A datagram to be sent to a peer.
     *
     * @param to the number of the peer
     * @param datagram the bytes of the datagram
     */
    public record Message(int to, byte[] datagram) {}

    private final PeerState[] peers;
    private final int self;
    private final int startBits;
    private final double minIntervalSeconds;
    private final double expirySeconds;
    private final SubsetAssignment subsets;
    private final IntConsumer onPeerLoadChanged;
    private final PeerSilenceDetector silenceDetector;

    /** Attempts in flight that the peers have reported. */
    private final TagCounts peerAttempts = new TagCounts();

    /** Attempts that this proxy reports as in flight, including abandoned ones. */
    private final TagCounts ownAttempts = new TagCounts();

    private final AbandonedAttempts abandoned = new AbandonedAttempts();

    /**
     * Creates the gossip of one proxy.
     *
     * @param proxyCount the number of proxies in the fleet
     * @param self the number of this proxy, counted from 0
     * @param startNumber the start number of this proxy
     * @param minIntervalSeconds the minimum time between two messages to the same peer
     * @param expirySeconds the time without a message after which the report of a peer is dropped
     * @param subsets which proxies use which backends
     * @param onPeerLoadChanged called with each tag whose {@link #peerLoad} may have changed
     */
    public LoadGossip(
            int proxyCount,
            int self,
            long startNumber,
            double minIntervalSeconds,
            double expirySeconds,
            SubsetAssignment subsets,
            IntConsumer onPeerLoadChanged) {
        peers = new PeerState[proxyCount];
        Arrays.setAll(peers, proxy -> new PeerState());
        this.self = self;
        startBits = GossipDatagram.startBits(startNumber);
        this.minIntervalSeconds = minIntervalSeconds;
        this.expirySeconds = expirySeconds;
        this.subsets = subsets;
        this.onPeerLoadChanged = onPeerLoadChanged;
        silenceDetector = new PeerSilenceDetector(minIntervalSeconds, expirySeconds);
    }

    /**
     * Returns the tag of a backend id, from 0 to 2^24 - 1. All proxies compute the same tag for an
     * id; two backends may have the same tag.
     */
    public static int tag(String id) {
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        return (int) (crc.getValue() & (1 << GossipDatagram.TAG_BITS) - 1);
    }

    /** Records that an attempt was sent to the backend with a tag. */
    public void attemptSent(int tag) {
        ownAttempts.increment(tag);
        markReportsChanged(tag);
    }

    /** Records that an attempt at the backend with a tag has ended. */
    public void attemptEnded(int tag) {
        ownAttempts.decrement(tag);
        markReportsChanged(tag);
    }

    /**
     * Records that the proxy no longer waits for an attempt at the backend with a tag. The backend
     * may still execute the attempt, so it counts as in flight until it expires.
     */
    public void attemptAbandoned(int tag, double now) {
        abandoned.add(tag, now + ABANDONED_EXPIRY_SHARE * expirySeconds);
        onPeerLoadChanged.accept(tag);
    }

    private void expireAbandoned(double now) {
        abandoned.expire(
                now,
                tag -> {
                    attemptEnded(tag);
                    onPeerLoadChanged.accept(tag);
                });
    }

    private void markReportsChanged(int tag) {
        for (int user : subsets.users(tag)) {
            if (user != self) {
                peers[user].markReportChanged();
            }
        }
    }

    /**
     * Returns the number of attempts that the peers have in flight at the backend with a tag, plus
     * the number of abandoned attempts of this proxy there.
     */
    public int peerLoad(int tag) {
        return peerAttempts.get(tag) + abandoned.count(tag);
    }

    /**
     * Returns the number of peers from which a message arrived within the expiry time; 0 if all
     * peers have fallen silent.
     */
    public int livePeerCount(double now) {
        return silenceDetector.isSilent(now)
                ? 0
                : (int)
                        Arrays.stream(peers)
                                .filter(peer -> peer.wasHeardFromWithin(expirySeconds, now))
                                .count();
    }

    /**
     * Processes a datagram from a peer. Guards against datagrams that are late, out of order,
     * duplicate, truncated or from before a restart: an unreadable or outdated datagram changes
     * nothing.
     */
    public void processDatagram(int from, byte[] datagram, double now) {
        boolean fromPeer = from >= 0 && from < peers.length && from != self;
        if (!fromPeer || !GossipDatagram.isWellFormed(datagram)) {
            return;
        }
        PeerState peer = peers[from];
        int sequenceNumber = GossipDatagram.readSequenceNumber(datagram);
        boolean sequenceKnown =
                peer.wasHeardFromWithin(SEQUENCE_MEMORY_EXPIRIES * expirySeconds, now);
        if (sequenceKnown && peer.isOutdated(sequenceNumber)) {
            return;
        }
        silenceDetector.messageReceived(now);
        int[] tags = GossipDatagram.readTags(datagram);
        int[] before = peer.update(sequenceNumber, tags, sequenceKnown, now);
        replacePeerAttempts(before, tags);
    }

    /**
     * Records that a peer has restarted. Guards against attempts from before the restart making
     * backends look busy until they expire, and against messages from before the restart being
     * taken for messages of the new start.
     */
    public void peerRestarted(int proxy, long startNumber) {
        int[] before = peers[proxy].handleRestart(GossipDatagram.startBits(startNumber));
        replacePeerAttempts(before, new int[0]);
    }

    /**
     * Drops the reports of peers that have stopped sending, for example because they were killed,
     * and the abandoned attempts that have expired.
     */
    public void expireStaleLoad(double now) {
        expireAbandoned(now);
        for (PeerState peer : peers) {
            if (peer.hasReportedAttempts() && !peer.wasHeardFromWithin(expirySeconds, now)) {
                replacePeerAttempts(peer.clearTags(), new int[0]);
            }
        }
    }

    private void replacePeerAttempts(int[] before, int[] after) {
        Arrays.stream(before).forEach(peerAttempts::decrement);
        Arrays.stream(after).forEach(peerAttempts::increment);
        Arrays.stream(before).forEach(onPeerLoadChanged);
        Arrays.stream(after).forEach(onPeerLoadChanged);
    }

    /**
     * Returns when {@link #takeDueMessages} is due next, in seconds: for the next message or the
     * next expiry of an abandoned attempt. Infinite if neither is pending.
     */
    public double nextSendAt() {
        double expiryAt = abandoned.nextExpiryAt();
        return Math.min(
                expiryAt,
                Arrays.stream(peers).mapToDouble(this::nextSendAt).min().orElse(expiryAt));
    }

    private double nextSendAt(PeerState peer) {
        return peer.nextSendAt(minIntervalSeconds, REPEAT_EXPIRY_SHARE * expirySeconds);
    }

    /**
     * Returns the messages that are due now and marks them as sent. Attempts that do not fit into a
     * datagram are left out.
     */
    public List<Message> takeDueMessages(double now) {
        expireAbandoned(now);
        List<Message> due = new ArrayList<>();
        for (int to = 0; to < peers.length; to++) {
            if (nextSendAt(peers[to]) <= now) {
                due.add(createMessage(to, now));
            }
        }
        return due;
    }

    private Message createMessage(int to, double now) {
        int[] tags =
                ownAttempts.entries().stream()
                        .filter(entry -> subsets.uses(to, entry.getKey()))
                        .flatMapToInt(
                                entry -> IntStream.generate(entry::getKey).limit(entry.getValue()))
                        .limit(GossipDatagram.MAX_TAGS)
                        .toArray();
        PeerState peer = peers[to];
        byte[] datagram = GossipDatagram.encode(startBits, peer.nextCounter(), tags);
        peer.messageSent(tags.length > 0, now);
        return new Message(to, datagram);
    }
}
