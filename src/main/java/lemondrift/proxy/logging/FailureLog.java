package lemondrift.proxy.logging;

import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts why requests are rejected, failed or refused: a line for each of the first few of
 * a second, and how many more there were. I/O thread only.
 */
public final class FailureLog {
    private static final Logger LOG = LoggerFactory.getLogger(FailureLog.class);

    /** How many requests of one second have a line each. */
    private static final int MAX_LINES_PER_SECOND = 5;

    private static final double MILLIS_PER_SECOND = 1000;

    private final ProxyMetrics metrics;
    private double secondStartedAt = Double.NEGATIVE_INFINITY;
    private int requestsInSecond;

    /** A log without lines yet; the metrics tell how many requests were overdue. */
    public FailureLog(ProxyMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * A request ends without a backend's response.
     *
     * @param trace the id by which its client knows it
     * @param rejected whether a retry of the client is harmless: no backend may have executed it,
     *     or it is idempotent; else it failed
     * @param now the instant, in seconds
     */
    public void logNotServed(
            Request request, String trace, String requestClass, boolean rejected, double now) {
        metrics.requestNotServed(request.failureReason);
        if (countAndCheckLimit(now)) {
            LOG.info(
                    "not served trace="
                            + trace
                            + " class="
                            + requestClass
                            + (rejected ? " rejected=" : " failed=")
                            + request.failureReason
                            + " attempts="
                            + request.attemptCount
                            + " age_ms="
                            + milliseconds(now - request.arrivedAt)
                            + " left_ms="
                            + milliseconds(request.deadline - now));
        }
    }

    /**
     * A client's request is refused with a 4xx, as it can't be read or used.
     *
     * @param trace the id by which its client knows it; empty where it states none
     * @param now the instant, in seconds
     */
    public void logRefused(int status, String reason, String trace, double now) {
        if (countAndCheckLimit(now)) {
            LOG.info("refused status=" + status + " why=" + reason + " trace=" + trace);
        }
    }

    /** Counts a line of this second; whether it is to be written. */
    private boolean countAndCheckLimit(double now) {
        if (now >= secondStartedAt + 1) {
            endSecond();
            secondStartedAt = now;
        }
        return ++requestsInSecond <= MAX_LINES_PER_SECOND;
    }

    private void endSecond() {
        if (requestsInSecond > MAX_LINES_PER_SECOND) {
            LOG.info(
                    "not served, and not logged: {} requests; overdue so far: {}",
                    requestsInSecond - MAX_LINES_PER_SECOND,
                    metrics.notServedCount(FailureReason.OVERDUE));
        }
        requestsInSecond = 0;
    }

    private static long milliseconds(double seconds) {
        return Math.round(seconds * MILLIS_PER_SECOND);
    }
}
