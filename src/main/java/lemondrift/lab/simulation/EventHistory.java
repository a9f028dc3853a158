package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/** The most recent events that the referee received. The message of a rule violation lists them. */
final class EventHistory {
    /** The index of the proxy, request or backend in an event that does not concern one. */
    static final int NONE = -1;

    /** The maximum number of events kept. */
    private static final int CAPACITY = 12;

    private record Event(double at, String description, int proxy, long requestId, int backend) {}

    private final Deque<Event> events = new ArrayDeque<>();

    void add(double at, String description, int proxy, long requestId, int backend) {
        if (events.size() == CAPACITY) {
            events.removeFirst();
        }
        events.add(new Event(at, description, proxy, requestId, backend));
    }

    /** Appends each event on a separate line, oldest first. */
    void appendTo(StringBuilder text) {
        for (Event event : events) {
            text.append("\n  ")
                    .append(event.at)
                    .append(" s ")
                    .append(event.description)
                    .append(", proxy ")
                    .append(event.proxy)
                    .append(", request ")
                    .append(event.requestId)
                    .append(", backend ")
                    .append(event.backend);
        }
    }
}
