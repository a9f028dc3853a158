package lemondrift.connection;

import java.util.Arrays;

/** A linked list of the connections in one state, in the order in which they entered it. */
final class ConnectionList {
    private final int[] next;
    private final int[] previous;
    private int first = ConnectionTable.NONE;
    private int last = ConnectionTable.NONE;
    private int size;

    /**
     * Creates an empty list. The lists of one table share their link arrays because each connection
     * is in exactly one list.
     */
    ConnectionList(int[] next, int[] previous) {
        this.next = next;
        this.previous = previous;
    }

    static int[] newLinks(int capacity) {
        int[] links = new int[capacity];
        Arrays.fill(links, ConnectionTable.NONE);
        return links;
    }

    void add(int connection) {
        previous[connection] = last;
        next[connection] = ConnectionTable.NONE;
        if (last == ConnectionTable.NONE) {
            first = connection;
        } else {
            next[last] = connection;
        }
        last = connection;
        size++;
    }

    void remove(int connection) {
        if (previous[connection] == ConnectionTable.NONE) {
            first = next[connection];
        } else {
            next[previous[connection]] = next[connection];
        }
        if (next[connection] == ConnectionTable.NONE) {
            last = previous[connection];
        } else {
            previous[next[connection]] = previous[connection];
        }
        size--;
    }

    int first() {
        return first;
    }

    int after(int connection) {
        return next[connection];
    }

    int size() {
        return size;
    }
}
