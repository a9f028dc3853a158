package lemondrift.gossip;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** A set of ids that is iterated without an object for each. */
final class IdSet {
    /** Where an id stands in the array. */
    private final Map<Integer, Integer> positions = new HashMap<>();

    private int[] ids = new int[16];
    private int size;

    boolean contains(int id) {
        return positions.containsKey(id);
    }

    int size() {
        return size;
    }

    /** The id at a place, from 0; places change when ids are removed. */
    int get(int position) {
        return ids[position];
    }

    int[] toArray() {
        return Arrays.copyOf(ids, size);
    }

    /** Whether the id was not there before. */
    boolean add(int id) {
        if (positions.putIfAbsent(id, size) != null) {
            return false;
        }
        ids = size < ids.length ? ids : Arrays.copyOf(ids, 2 * size);
        ids[size++] = id;
        return true;
    }

    /** Whether the id was there; the last one takes its place. */
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
