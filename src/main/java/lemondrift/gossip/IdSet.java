package lemondrift.gossip;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** A set of ids that can be iterated without allocating an object for each id. */
final class IdSet {
    /** The position of each id in the array. */
    private final Map<Integer, Integer> positions = new HashMap<>();

    private int[] ids = new int[16];
    private int size;

    boolean contains(int id) {
        return positions.containsKey(id);
    }

    int size() {
        return size;
    }

    /** Returns the id at a position, counted from 0; removing an id may change positions. */
    int get(int position) {
        return ids[position];
    }

    int[] toArray() {
        return Arrays.copyOf(ids, size);
    }

    /** Adds an id; returns whether it was absent before. */
    boolean add(int id) {
        if (positions.putIfAbsent(id, size) != null) {
            return false;
        }
        ids = size < ids.length ? ids : Arrays.copyOf(ids, 2 * size);
        ids[size++] = id;
        return true;
    }

    /** Removes an id; returns whether it was present. The last id moves to its position. */
    boolean remove(int id) {
        Integer position = positions.remove(id);
        if (position == null) {
            return false;
        }
        int last = ids[--size];
        if (last != id) {
            ids[position] = last;
            positions.put(last, position);
        }
        return true;
    }
}
