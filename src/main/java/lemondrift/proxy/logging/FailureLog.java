package lemondrift.proxy.logging;

import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs why requests are rejected, failed or refused, and counts the rejected and failed ones.
 * Writes one line for each of the first few requests of a second, and one line with the number of
 * the remaining requests. I/O thread only.
 */
public final class FailureLog {
    private static final Logger LOG = LoggerFactory.getLogger(FailureLog.class);

    /** Maximum number of requests per second that are logged on a line of their own. */
    private static final int MAX_LINES_PER_SECOND = 5;

    private static final double MILLIS_PER_SECOND = 1000;

    private final ProxyMetrics metrics;
    private double secondStartedAt = Double.NEGATIVE_INFINITY;
    private int requestsInSecond;

    /**
     * Creates a log.
     *
     * @param metrics counts the requests that are not served; also read for the number of overdue
     *     requests
     */
    public FailureLog(ProxyMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Counts and logs a request that ends without a response from a backend.
     *
     * @param trace the trace id that the client set
     * @param rejected true if a retry by the client is harmless, because no backend can have
     *     executed the request or it is idempotent; false if the request failed
     * @param now the current time, in seconds
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
     * Logs a client request that is refused with a 4xx status because it cannot be read or used.
     *
     * @param trace the trace id that the client set; empty if it set none
     * @param now the current time, in seconds
     */
    public void logRefused(int status, String reason, String trace, double now) {
        if (countAndCheckLimit(now)) {
            LOG.info("refused status=" + status + " why=" + reason + " trace=" + trace);
        }
    }

    /** Counts a request of this second. Returns true if a line may be written for it. */
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
