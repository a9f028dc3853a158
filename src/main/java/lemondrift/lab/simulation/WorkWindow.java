package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/** The work that one cold backend received within a sliding time window. */
final class WorkWindow {
    private record Item(double at, double workSeconds) {}

    private final double windowSeconds;
    private final Deque<Item> items = new ArrayDeque<>();

    WorkWindow(double windowSeconds) {
        this.windowSeconds = windowSeconds;
    }

    /**
     * Adds the work of one request, in seconds of one warm core, and drops requests older than the
     * window.
     */
    void add(double now, double workSeconds) {
        items.add(new Item(now, workSeconds));
        while (items.peek().at < now - windowSeconds) {
            items.remove();
        }
    }

    /**
     * Returns whether the work in the window exceeds a budget, in seconds of one warm core; a
     * single request never does, regardless of its work.
     */
    boolean exceeds(double budgetSeconds) {
        return items.size() > 1
                && items.stream().mapToDouble(Item::workSeconds).sum() > budgetSeconds;
    }

    /** Returns the number of requests in the window. */
    int requestCount() {
        return items.size();
    }

    void clear() {
        items.clear();
    }
}
