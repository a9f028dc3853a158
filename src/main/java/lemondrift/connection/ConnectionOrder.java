package lemondrift.connection;

import java.util.Arrays;

/** The connections of one state, the one that came into it first at the front. */
final class ConnectionOrder {
    private static final int NONE = -1;

    private final int[] next;
    private final int[] previous;
    private int first = NONE;
    private int last = NONE;
    private int size;

    /** Lists of one door share their links, as each connection is in one of them. */
    ConnectionOrder(int[] next, int[] previous) {
        this.next = next;
        this.previous = previous;
    }

    static int[] links(int most) {
        int[] links = new int[most];
        Arrays.fill(links, NONE);
        return links;
    }

    void add(int i) {
        previous[i] = last;
        next[i] = NONE;
        if (last == NONE) {
            first = i;
        } else {
            next[last] = i;
        }
        last = i;
        size++;
    }

    void remove(int i) {
        if (previous[i] == NONE) {
            first = next[i];
        } else {
            next[previous[i]] = next[i];
        }
        if (next[i] == NONE) {
            last = previous[i];
        } else {
            previous[next[i]] = previous[i];
        }
        size--;
    }

    int first() {
        return first;
    }

    int after(int i) {
        return next[i];
    }

    int size() {
        return size;
    }
}
