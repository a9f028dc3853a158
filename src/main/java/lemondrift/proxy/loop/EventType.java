package lemondrift.proxy.loop;

import lemondrift.metrics.EventLoopMetrics;

/**
 * The type of an event. Its name appears in the log if the event fails; its kind appears in the
 * metrics.
 */
enum EventType {
    REQUEST_ARRIVED(EventLoopMetrics.Kind.ARRIVAL),
    ATTEMPT_ENDED(EventLoopMetrics.Kind.OUTCOME),
    PROBE_ENDED(EventLoopMetrics.Kind.OTHER),
    CLIENT_LEFT(EventLoopMetrics.Kind.CLIENT_LEFT),
    BODY_NOT_REPLAYABLE(EventLoopMetrics.Kind.OTHER),
    ENDPOINT_LIST_RECEIVED(EventLoopMetrics.Kind.LIST),
    ENDPOINT_LIST_SLICE(EventLoopMetrics.Kind.LIST),
    ENDPOINT_LIST_FAILED(EventLoopMetrics.Kind.OTHER),
    RECOVERY_DATAGRAM_RECEIVED(EventLoopMetrics.Kind.OTHER),
    WAKE_TIME_REACHED(EventLoopMetrics.Kind.TIMER),
    PROCESS_COUNT_CHANGED(EventLoopMetrics.Kind.OTHER),
    SETTINGS_RELOADED(EventLoopMetrics.Kind.OTHER),
    SETTINGS_APPLIED(EventLoopMetrics.Kind.OTHER),
    SHUTDOWN(EventLoopMetrics.Kind.OTHER),
    TASK(EventLoopMetrics.Kind.OTHER);

    final EventLoopMetrics.Kind metricsKind;

    EventType(EventLoopMetrics.Kind metricsKind) {
        this.metricsKind = metricsKind;
    }
}
