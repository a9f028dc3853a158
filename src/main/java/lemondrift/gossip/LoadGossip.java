package lemondrift.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;
import java.util.zip.CRC32;

/**
 * What the proxies of one bank have out, told in datagrams: each tells another the backends of its
 * exchanges that are out, as far as the other uses them (SubsetAssignment), whenever that has
 * changed, at a pace. So what a proxy tells does not grow with their number. A telling says how
 * things stand, not what happened, so that one which is lost or comes twice does no harm. Backends
 * go by a tag of their id. Times are in seconds.
 */
public final class LoadGossip {
    public static final int MAX_DATAGRAM_BYTES = 256;
    private static final byte KIND = 4;

    /** Of a number the low bits count, and the others are of the sender's start number. */
    private static final int COUNT_BITS = 12;

    private static final int COUNTS = 1 << COUNT_BITS;
    private static final int STARTS = 16;
    private static final int NONE = -1;

    /**
     * A former self, and how far one has counted, are remembered for so many times the span of a
     * telling.
     */
    private static final double REMEMBERED = 2;

    private static final int HEAD = 3;
    private static final int TAG_BYTES = 3;
    private static final int TAG_BITS = 24;
    private static final int MOST = (MAX_DATAGRAM_BYTES - HEAD) / TAG_BYTES;

    /** One that was given up counts as out for this share of the same span. */
    private static final double LINGER = 0.125;

    /**
     * An unchanged telling is told again after this share of the span after which one is forgotten.
     */
    private static final double AGAIN = 0.4;

    /** An exchange that was given up, and until when it counts. */
    private record Lingering(int tag, double until) {}

    /** What goes to one other proxy. */
    public record Message(int to, byte[] datagram) {}

    /** One other proxy as last told, and what it was told last. */
    private static final class Peer {
        private int number;
        private int told;
        private int start = NONE;
        private int former = NONE;
        private int[] tags = {};
        private double heardAt = Double.NEGATIVE_INFINITY;
        private double toldAt = Double.NEGATIVE_INFINITY;
        private boolean dirty;
        private boolean knows;
    }

    /**
     * Of how many gaps between two tellings the mean is; how many of them, and paces, are a
     * silence.
     */
    private static final double LATELY = 32;

    private static final double SILENCE = 12;
    private static final double LEAST_SILENCE = 4;

    private final Peer[] peers;
    private final int self;
    private final int start;
    private final double pace;
    private final double forget;
    private final IntConsumer changed;
    private final SubsetAssignment subsets;
    private final Map<Integer, Integer> others = new HashMap<>();
    private final Map<Integer, Integer> own = new HashMap<>();

    /** When another was last heard, and the mean time between two tellings. */
    private double latestAt = Double.NEGATIVE_INFINITY;

    private double gap;

    private final Queue<Lingering> lingering = new ArrayDeque<>();

    /** How many linger, by tag. */
    private final Map<Integer, Integer> lingeringByTag = new HashMap<>();

    /**
     * The number of proxies, which of them this one is and its start number, the least seconds
     * between two tellings to one, the seconds after which what one has told is forgotten, who uses
     * which backends, and who hears of each tag of which the number out at the others has changed.
     */
    public LoadGossip(
            int proxies,
            int self,
            long start,
            double pace,
            double forget,
            SubsetAssignment subsets,
            IntConsumer changed) {
        peers = new Peer[proxies];
        Arrays.setAll(peers, i -> new Peer());
        this.self = self;
        this.start = (int) (start % STARTS);
        this.pace = pace;
        this.forget = forget;
        gap = forget;
        this.subsets = subsets;
        this.changed = changed;
    }

    public static int tag(String id) {
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return (int) (crc.getValue() & (1 << TAG_BITS) - 1);
    }

    public void attemptSent(int tag) {
        own.merge(tag, 1, Integer::sum);
        changes(tag);
    }

    public void attemptEnded(int tag) {
        own.computeIfPresent(tag, (t, n) -> n > 1 ? n - 1 : null);
        changes(tag);
    }

    /**
     * Nobody waits any more for an exchange that was sent to the backend of a tag; it counts as out
     * for a while. Danger: the backend may be at work on it still, and where most are given up so,
     * all look idle.
     */
    public void attemptAbandoned(int tag, double now) {
        lingering.add(new Lingering(tag, now + LINGER * forget));
        lingeringByTag.merge(tag, 1, Integer::sum);
        changed.accept(tag);
    }

    private void lapse(double now) {
        while (!lingering.isEmpty() && lingering.peek().until <= now) {
            int tag = lingering.remove().tag;
            lingeringByTag.computeIfPresent(tag, (t, n) -> n > 1 ? n - 1 : null);
            attemptEnded(tag);
            changed.accept(tag);
        }
    }

    private void changes(int tag) {
        for (int user : subsets.users(tag)) {
            peers[user].dirty |= user != self;
        }
    }

    /**
     * How many exchanges the others have out at a backend, and how many of its own it has given up
     * there.
     */
    public int peerLoad(int tag) {
        return others.getOrDefault(tag, 0) + lingeringByTag.getOrDefault(tag, 0);
    }

    /**
     * How many of the others are heard. Danger: where none is any more, what they have out counts
     * as nothing, and who went on by that would take all backends for idle; and until that is
     * forgotten, by what they had out when they fell silent. So a silence of many times what is
     * usual between two tellings is deafness.
     */
    public int livePeerCount(double now) {
        boolean deaf = now - latestAt > Math.max(LEAST_SILENCE * pace, SILENCE * gap);
        return deaf
                ? 0
                : (int) Arrays.stream(peers).filter(peer -> now - peer.heardAt <= forget).count();
    }

    /**
     * What another has told. Danger: datagrams come late, out of order, twice, cut, from a new
     * start that counts from the beginning again, or from a former self after that; what can't be
     * read or is older than what is held changes nothing.
     */
    public void receive(int from, byte[] datagram, double now) {
        Peer peer = from < 0 || from >= peers.length || from == self ? null : peers[from];
        int length = datagram.length - HEAD;
        if (peer == null || length < 0 || length % TAG_BYTES != 0 || datagram[0] != KIND) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
        int numbered = in.getShort() & 0xffff;
        int start = numbered >> COUNT_BITS;
        boolean known = now - peer.heardAt <= REMEMBERED * forget;
        if (known
                && (start == peer.former
                        || (start == peer.start && !isAfter(numbered, peer.number)))) {
            return;
        }
        peer.former = known && start != peer.start ? peer.start : peer.former;
        peer.start = start;
        if (latestAt > Double.NEGATIVE_INFINITY) {
            gap += (Math.min(forget, now - latestAt) - gap) / LATELY;
        }
        latestAt = now;
        int[] before = peer.tags;
        peer.tags = new int[length / TAG_BYTES];
        Arrays.setAll(
                peer.tags,
                i -> (in.get() & 0xff) << 16 | (in.get() & 0xff) << 8 | (in.get() & 0xff));
        peer.number = numbered;
        peer.heardAt = now;
        replace(before, peer.tags);
    }

    /**
     * Another proxy has started anew, under a start number. Danger: what its former self had out
     * would look busy until it is forgotten, and what that has told and still comes would be taken
     * for the new one's.
     */
    public void peerRestarted(int proxy, long start) {
        Peer peer = peers[proxy];
        int[] before = peer.tags;
        peer.tags = new int[0];
        // Danger: two starts may share the bits that a telling has; then the new one must be heard.
        boolean apart = peer.start != (int) (start % STARTS);
        peer.former = apart ? peer.start : NONE;
        peer.start = apart ? (int) (start % STARTS) : NONE;
        peer.number = 0;
        replace(before, peer.tags);
    }

    /**
     * Danger: what a proxy had out that was killed would keep its backends looking busy for good.
     */
    public void expireSilentPeers(double now) {
        lapse(now);
        for (Peer peer : peers) {
            if (peer.tags.length > 0 && now - peer.heardAt > forget) {
                int[] before = peer.tags;
                peer.tags = new int[0];
                replace(before, peer.tags);
            }
        }
    }

    /** Whether one number of a start comes after another, as they begin again after the last. */
    private static boolean isAfter(int one, int other) {
        int ahead = one - other & COUNTS - 1;
        return ahead > 0 && ahead < COUNTS / 2;
    }

    private void replace(int[] before, int[] after) {
        Arrays.stream(before)
                .forEach(tag -> others.computeIfPresent(tag, (t, n) -> n > 1 ? n - 1 : null));
        Arrays.stream(after).forEach(tag -> others.merge(tag, 1, Integer::sum));
        Arrays.stream(before).forEach(changed);
        Arrays.stream(after).forEach(changed);
    }

    /** When the next telling is due; infinite where nothing is to be told. */
    public double nextSendAt() {
        double lapses = lingering.isEmpty() ? Double.POSITIVE_INFINITY : lingering.peek().until;
        return Math.min(
                lapses, Arrays.stream(peers).mapToDouble(this::nextSendAt).min().orElse(lapses));
    }

    private double nextSendAt(Peer peer) {
        return peer.dirty
                ? peer.toldAt + pace
                : peer.knows ? peer.toldAt + AGAIN * forget : Double.POSITIVE_INFINITY;
    }

    /** The tellings that are due, which count as told. What does not fit is left out. */
    public List<Message> dueMessages(double now) {
        lapse(now);
        List<Message> due = new ArrayList<>();
        for (int to = 0; to < peers.length; to++) {
            if (nextSendAt(peers[to]) <= now) {
                due.add(message(to, now));
            }
        }
        return due;
    }

    private Message message(int to, double now) {
        int[] tags =
                own.entrySet().stream()
                        .filter(each -> uses(to, each.getKey()))
                        .flatMapToInt(
                                each -> IntStream.generate(each::getKey).limit(each.getValue()))
                        .limit(MOST)
                        .toArray();
        ByteBuffer out = ByteBuffer.allocate(HEAD + tags.length * TAG_BYTES);
        out.put(KIND).putShort((short) (start << COUNT_BITS | (++peers[to].told & COUNTS - 1)));
        for (int tag : tags) {
            out.put((byte) (tag >> 16)).put((byte) (tag >> 8)).put((byte) tag);
        }
        peers[to].dirty = false;
        peers[to].knows = tags.length > 0;
        peers[to].toldAt = now;
        return new Message(to, out.array());
    }

    private boolean uses(int proxy, int tag) {
        return subsets.uses(proxy, tag);
    }
}
