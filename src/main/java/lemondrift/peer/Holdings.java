package lemondrift.peer;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntConsumer;
import java.util.zip.CRC32;

/**
 * What the proxies of one bank have out, told in datagrams: each tells the backends of all its exchanges that
 * are out, whenever that has changed, at a pace. A telling says how things stand, not what happened, so that
 * one which is lost or comes twice does no harm. Backends go by a tag of their id. Times are in seconds.
 */
public final class Holdings {
    public static final int MOST_BYTES = 256;
    private static final byte KIND = 1;
    private static final int HEAD = 5, TAG_BYTES = 3, TAG_BITS = 24;
    /** An unchanged telling is told again after this share of the span after which one is forgotten. */
    private static final double AGAIN = 0.25;

    /** One other proxy as last told. */
    private static final class Peer {
        private int number;
        private int[] tags = {};
        private double toldAt = Double.NEGATIVE_INFINITY;
    }

    private final Peer[] peers;
    private final double pace, forget;
    private final IntConsumer changed;
    private final Map<Integer, Integer> others = new HashMap<>(), own = new HashMap<>();
    private int number;
    private boolean dirty;
    private double toldAt = Double.NEGATIVE_INFINITY;

    /**
     * The number of others, the least seconds between two tellings, the seconds after which one who is silent
     * is forgotten, and who hears of each tag of which the number out at the others has changed.
     */
    public Holdings(int peers, double pace, double forget, IntConsumer changed) {
        this.peers = new Peer[peers];
        Arrays.setAll(this.peers, i -> new Peer());
        this.pace = pace;
        this.forget = forget;
        this.changed = changed;
    }

    public static int tag(String id) {
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return (int) (crc.getValue() & (1 << TAG_BITS) - 1);
    }

    public void sent(int tag) {
        own.merge(tag, 1, Integer::sum);
        dirty = true;
    }

    public void ended(int tag) {
        own.computeIfPresent(tag, (t, n) -> n > 1 ? n - 1 : null);
        dirty = true;
    }

    /** How many exchanges the others have out at a backend. */
    public int others(int tag) {
        return others.getOrDefault(tag, 0);
    }

    /** How many of the others have been heard lately. */
    public int heard(double now) {
        int heard = 0;
        for (Peer peer : peers) {
            heard += now - peer.toldAt <= forget ? 1 : 0;
        }
        return heard;
    }

    /**
     * What another has told. Danger: datagrams come late, out of order, twice, cut or from a new start that
     * counts from the beginning again; what can't be read or is older than what is held changes nothing.
     */
    public void told(int from, byte[] datagram, double now) {
        Peer peer = from < 0 || from >= peers.length ? null : peers[from];
        int length = datagram.length - HEAD;
        if (peer == null || length < 0 || length % TAG_BYTES != 0 || datagram[0] != KIND) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
        int numbered = in.getInt();
        if (numbered - peer.number <= 0 && now - peer.toldAt <= forget) {
            return;
        }
        int[] before = peer.tags;
        peer.tags = new int[length / TAG_BYTES];
        Arrays.setAll(peer.tags, i -> (in.get() & 0xff) << 16 | (in.get() & 0xff) << 8 | in.get() & 0xff);
        peer.number = numbered;
        peer.toldAt = now;
        replace(before, peer.tags);
    }

    /** Danger: what a proxy had out that was killed would keep its backends looking busy for good. */
    public void forget(double now) {
        for (Peer peer : peers) {
            if (peer.tags.length > 0 && now - peer.toldAt > forget) {
                int[] before = peer.tags;
                peer.tags = new int[0];
                replace(before, peer.tags);
            }
        }
    }

    private void replace(int[] before, int[] after) {
        Arrays.stream(before).forEach(tag -> others.computeIfPresent(tag, (t, n) -> n > 1 ? n - 1 : null));
        Arrays.stream(after).forEach(tag -> others.merge(tag, 1, Integer::sum));
        Arrays.stream(before).forEach(changed);
        Arrays.stream(after).forEach(changed);
    }

    /** When the next telling is due. */
    public double tellAt() {
        return toldAt + (dirty ? pace : AGAIN * forget);
    }

    /** The telling that is due, which counts as told; null if none is. What does not fit is left out. */
    public byte[] telling(double now) {
        if (now < tellAt()) {
            return null;
        }
        int most = (MOST_BYTES - HEAD) / TAG_BYTES;
        int all = Math.min(most, own.values().stream().mapToInt(n -> n).sum());
        ByteBuffer out = ByteBuffer.allocate(HEAD + all * TAG_BYTES).put(KIND).putInt(++number);
        own.forEach((tag, n) -> {
            for (int i = 0; i < n && out.hasRemaining(); i++) {
                out.put((byte) (tag >> 16)).put((byte) (tag >> 8)).put((byte) (int) tag);
            }
        });
        dirty = false;
        toldAt = now;
        return out.array();
    }
}
