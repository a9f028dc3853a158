package lemondrift.proxy.loop;

import lemondrift.model.Request;

/**
 * Something that the decision loop has to handle.
 *
 * @param dueAt since when it has waited, in seconds of the proxy's clock, or {@link #UNKNOWN_TIME}
 * @param request the request that it is about; null where it is about none
 */
record Event(EventType type, double dueAt, Request request, Runnable action) {
    /** Stands for a time that was not read: to read the clock costs more than most events do. */
    static final double UNKNOWN_TIME = Double.POSITIVE_INFINITY;
}
