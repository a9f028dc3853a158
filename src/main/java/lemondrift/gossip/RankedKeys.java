package lemondrift.gossip;

import java.util.Arrays;

/**
 * The least keys of one proxy, in order, up to a limit. A key is a backend's score with its id
 * below, so that sorting keys sorts by score.
 */
final class RankedKeys {
    /** Bits of a key for the backend's id. */
    private static final int ID_BITS = 24;

    /** Bits of a key for the score; with the id a key stays positive. */
    private static final int SCORE_BITS = 39;

    private final long[] keys;
    private int size;

    /** Whether keys beyond the limit were left out. */
    private boolean truncated;

    RankedKeys(int limit) {
        keys = new long[limit];
    }

    /** The key of a backend's id, by the hash of which the high bits are its score. */
    static long key(long hash, int id) {
        return hash >>> (Long.SIZE - SCORE_BITS) << ID_BITS | id;
    }

    int size() {
        return size;
    }

    boolean isTruncated() {
        return truncated;
    }

    /** The key at a rank, from 0. */
    long key(int rank) {
        return keys[rank];
    }

    /** The backend's id at a rank, from 0. */
    int id(int rank) {
        return (int) (keys[rank] & (1 << ID_BITS) - 1);
    }

    void clear() {
        size = 0;
        truncated = false;
    }

    void add(long key) {
        // Once keys were left out, one behind all that are kept may be behind those as well.
        boolean behindAll = size == 0 || key > keys[size - 1];
        if (behindAll && (truncated || size == keys.length)) {
            truncated = true;
            return;
        }
        int rank = -1 - Arrays.binarySearch(keys, 0, size, key);
        truncated |= size == keys.length;
        size = Math.min(keys.length, size + 1);
        System.arraycopy(keys, rank, keys, rank + 1, size - 1 - rank);
        keys[rank] = key;
    }

    void remove(long key) {
        int rank = Arrays.binarySearch(keys, 0, size, key);
        if (rank >= 0) {
            size--;
            System.arraycopy(keys, rank + 1, keys, rank, size - rank);
        }
    }
}
