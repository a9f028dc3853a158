package lemondrift.gossip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;
import java.util.zip.CRC32;

/**
 * What the proxies of a fleet have in flight, told each other in datagrams: to each peer go the
 * backends of the attempts in flight, as far as the peer uses them ({@link SubsetAssignment}),
 * whenever that has changed, at a limited rate. So what a proxy sends does not grow with the number
 * of proxies. A message says what is, not what happened: one that is lost or comes twice does no
 * harm. Backends go by a tag of their id. Times are in seconds of one clock.
 */
public final class LoadGossip {
    /** A datagram's size limit, in bytes. */
    public static final int MAX_DATAGRAM_BYTES = GossipDatagram.MAX_BYTES;

    /** For so many expiries a silent peer's start and sequence number are remembered. */
    private static final double SEQUENCE_MEMORY_EXPIRIES = 2;

    /** An abandoned attempt counts as in flight for this share of the expiry. */
    private static final double ABANDONED_EXPIRY_SHARE = 0.125;

    /** What has not changed is sent again after this share of the expiry. */
    private static final double REPEAT_EXPIRY_SHARE = 0.4;

    /**
     * What goes to one peer.
     *
     * @param to the peer's number
     * @param datagram its bytes
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

    /** What the peers have in flight. */
    private final TagCounts peerAttempts = new TagCounts();

    /** What this proxy reports as in flight. */
    private final TagCounts ownAttempts = new TagCounts();

    private final AbandonedAttempts abandoned = new AbandonedAttempts();

    /**
     * The gossip of one proxy.
     *
     * @param proxyCount the number of proxies
     * @param self this proxy's number among them
     * @param startNumber its start number
     * @param minIntervalSeconds the least time between two messages to one peer
     * @param expirySeconds after this long without a message what a peer reported counts no more
     * @param subsets who uses which backend
     * @param onPeerLoadChanged hears each tag whose {@link #peerLoad} may have changed
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

    /** The tag of a backend's id, the same at all proxies; two backends may share one. */
    public static int tag(String id) {
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        return (int) (crc.getValue() & (1 << GossipDatagram.TAG_BITS) - 1);
    }

    /** An attempt was sent to the backend of a tag. */
    public void attemptSent(int tag) {
        ownAttempts.increment(tag);
        markReportsChanged(tag);
    }

    /** An attempt at the backend of a tag has ended. */
    public void attemptEnded(int tag) {
        ownAttempts.decrement(tag);
        markReportsChanged(tag);
    }

    /**
     * The proxy waits no more for an attempt at the backend of a tag, which may still work on it;
     * so it counts as in flight for a while.
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
     * How many attempts at a backend the peers have in flight, and how many of its own this proxy
     * has abandoned there.
     */
    public int peerLoad(int tag) {
        return peerAttempts.get(tag) + abandoned.count(tag);
    }

    /** How many peers were heard within the expiry; none where all have fallen silent. */
    public int livePeerCount(double now) {
        return silenceDetector.isSilent(now)
                ? 0
                : (int)
                        Arrays.stream(peers)
                                .filter(peer -> peer.wasHeardFromWithin(expirySeconds, now))
                                .count();
    }

    /**
     * Takes over what a peer reports. Guards against datagrams that come late, out of order, twice,
     * cut or from before a restart: what can't be read or is outdated changes nothing.
     */
    public void receive(int from, byte[] datagram, double now) {
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
     * A peer has restarted. Guards against its former attempts making backends look busy until they
     * expire, and against its former messages being taken for the new start's.
     */
    public void peerRestarted(int proxy, long startNumber) {
        int[] before = peers[proxy].handleRestart(GossipDatagram.startBits(startNumber));
        replacePeerAttempts(before, new int[0]);
    }

    /** Drops what silent peers, as killed ones, have reported, and what has been abandoned long. */
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

    /** When messages are due next, in seconds; infinite where nothing is to be sent. */
    public double nextSendAt() {
        double expiryAt = abandoned.nextExpiryAt();
        return Math.min(
                expiryAt,
                Arrays.stream(peers).mapToDouble(this::nextSendAt).min().orElse(expiryAt));
    }

    private double nextSendAt(PeerState peer) {
        return peer.nextSendAt(minIntervalSeconds, REPEAT_EXPIRY_SHARE * expirySeconds);
    }

    /** The messages that are due now, which count as sent; attempts that don't fit are left out. */
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
