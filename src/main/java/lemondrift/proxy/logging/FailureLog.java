package lemondrift.proxy.logging;

import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.Request;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Says in the log why requests are not served, a few a second; the rest are counted. I/O thread
 * only.
 */
public final class FailureLog {
    private static final Logger LOG = LoggerFactory.getLogger(FailureLog.class);

    /** So many requests have a line of their own in one second. */
    private static final int MOST = 5;

    private final ProxyMetrics metrics;
    private double secondBegan = Double.NEGATIVE_INFINITY;
    private int inThisSecond;

    public FailureLog(ProxyMetrics metrics) {
        this.metrics = metrics;
    }

    /** A request is rejected, which promises that a retry is harmless, or failed. */
    public void notServed(
            Request request, String trace, String requestClass, boolean rejected, double now) {
        if (now >= secondBegan + 1) {
            endsSecond();
            secondBegan = now;
        }
        if (++inThisSecond <= MOST) {
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

    private void endsSecond() {
        if (inThisSecond > MOST) {
            LOG.info(
                    "not served, and not logged: {} requests; overdue so far: {}",
                    inThisSecond - MOST,
                    metrics.overdueRequestCount());
        }
        inThisSecond = 0;
    }

    private static long milliseconds(double seconds) {
        return Math.round(seconds * 1000);
    }
}
