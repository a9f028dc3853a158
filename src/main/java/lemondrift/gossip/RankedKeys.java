package lemondrift.gossip;

import java.util.Arrays;

/**
 * The lowest keys of one proxy, in ascending order, up to a limit. A key has the score of a backend
 * in its high bits and the id in its low bits, so sorting keys sorts backends by score.
 */
final class RankedKeys {
    /** Number of low bits of a key that hold the id of the backend. */
    private static final int ID_BITS = 24;

    /** Number of bits of a key that hold the score; with the id, the sign bit stays 0. */
    private static final int SCORE_BITS = 39;

    private final long[] keys;
    private int size;

    /** Whether keys beyond the limit were dropped. */
    private boolean truncated;

    RankedKeys(int limit) {
        keys = new long[limit];
    }

    /** Returns the key of a backend id; the high bits of the hash become the score. */
    static long key(long hash, int id) {
        return hash >>> (Long.SIZE - SCORE_BITS) << ID_BITS | id;
    }

    int size() {
        return size;
    }

    boolean isTruncated() {
        return truncated;
    }

    /** Returns the key at a rank, counted from 0. */
    long key(int rank) {
        return keys[rank];
    }

    /** Returns the id of the backend at a rank, counted from 0. */
    int id(int rank) {
        return (int) (keys[rank] & (1 << ID_BITS) - 1);
    }

    void clear() {
        size = 0;
        truncated = false;
    }

    void add(long key) {
        // Once keys were dropped, a key that is higher than all kept keys may be higher than some
        // dropped keys too, so its rank is unknown.
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
