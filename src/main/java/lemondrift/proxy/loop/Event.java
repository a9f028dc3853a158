package lemondrift.proxy.loop;

import lemondrift.model.Request;

/**
 * An event for the decision loop to handle.
 *
 * @param dueAt when the event arrived or became due, in seconds of the proxy's clock, or {@link
 *     #UNKNOWN_TIME}
 * @param request the request that the event is about; null if it is not about a request
 */
record Event(EventType type, double dueAt, Request request, Runnable action) {
    /**
     * The due time of an event for which the clock was not read: reading it costs more than
     * handling most events.
     */
    static final double UNKNOWN_TIME = Double.POSITIVE_INFINITY;
}
