package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/** The work that one cold backend was given within a sliding window of time. */
final class WorkWindow {
    private record Item(double at, double workSeconds) {}

    private final double windowSeconds;
    private final Deque<Item> items = new ArrayDeque<>();

    WorkWindow(double windowSeconds) {
        this.windowSeconds = windowSeconds;
    }

    /** Adds the work of one request, in seconds of one warm core, and drops what is too old. */
    void add(double now, double workSeconds) {
        items.add(new Item(now, workSeconds));
        while (items.peek().at < now - windowSeconds) {
            items.remove();
        }
    }

    /** Whether the work exceeds a budget; one request alone never does, however heavy it is. */
    boolean exceeds(double budgetSeconds) {
        return items.size() > 1
                && items.stream().mapToDouble(Item::workSeconds).sum() > budgetSeconds;
    }

    /** How many requests are in the window. */
    int requestCount() {
        return items.size();
    }

    void clear() {
        items.clear();
    }
}
