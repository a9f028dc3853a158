package lemondrift.serve;

import lemondrift.model.Exchange;
import lemondrift.tally.Tally;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Says in the log why requests are not served, a few a second; the rest are counted. I/O thread only. */
final class EndingLog {
    private static final Logger LOG = LoggerFactory.getLogger(EndingLog.class);
    /** So many requests have a line of their own in one second. */
    private static final int MOST = 5;

    private final Tally tally;
    private double secondBegan = Double.NEGATIVE_INFINITY;
    private int inThisSecond;

    EndingLog(Tally tally) {
        this.tally = tally;
    }

    /** A request is rejected, which promises that a retry is harmless, or failed. */
    void notServed(Exchange x, String trace, String requestClass, boolean rejected, double now) {
        if (now >= secondBegan + 1) {
            endsSecond();
            secondBegan = now;
        }
        if (++inThisSecond <= MOST) {
            LOG.info("not served trace={} class={} {}={} attempts={} age={}s left={}s", trace, requestClass,
                    rejected ? "rejected" : "failed", x.ending, x.forwards, seconds(now - x.arrived),
                    seconds(x.expiry - now));
        }
    }

    private void endsSecond() {
        if (inThisSecond > MOST) {
            LOG.info("not served, and not logged: {} requests; overdue so far: {}", inThisSecond - MOST,
                    tally.overdue());
        }
        inThisSecond = 0;
    }

    private static double seconds(double span) {
        return Math.round(span * 1000) / 1000.0;
    }
}
