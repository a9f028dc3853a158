package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/** The last events that the referee saw, which the message of a broken rule lists. */
final class EventHistory {
    /** Stands in an event for a proxy, request or backend that it does not concern. */
    static final int NONE = -1;

    /** How many events are kept. */
    private static final int CAPACITY = 12;

    private record Event(double at, String description, int proxy, long requestId, int backend) {}

    private final Deque<Event> events = new ArrayDeque<>();

    void add(double at, String description, int proxy, long requestId, int backend) {
        if (events.size() == CAPACITY) {
            events.removeFirst();
        }
        events.add(new Event(at, description, proxy, requestId, backend));
    }

    /** Appends each event on a line of its own. */
    void appendTo(StringBuilder text) {
        for (Event event : events) {
            text.append("\n  ")
                    .append(event.at)
                    .append(" s ")
                    .append(event.description)
                    .append(", proxy ")
                    .append(event.proxy)
                    .append(", exchange ")
                    .append(event.requestId)
                    .append(", backend ")
                    .append(event.backend);
        }
    }
}
