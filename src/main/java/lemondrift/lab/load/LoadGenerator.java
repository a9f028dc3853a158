package lemondrift.lab.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import lemondrift.lab.simulation.ReportKeys;
import lemondrift.settings.InvalidSettingsException;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at a stated rate, whatever becomes of those before (an open loop). Latency counts
 * from when a request was due: waiting for a free connection is the client's time too. It sends to
 * loopback alone.
 */
public final class LoadGenerator {
    /** A request that is sent this many seconds late shows that the load falls behind its rate. */
    private static final double LATE_SEND_SECONDS = 0.01;

    /** The share of the requests that may be sent late is one in so many. */
    private static final long MAX_LATE_SENDS_DIVISOR = 100;

    /** The longest latency that is told apart. */
    private static final long MAX_LATENCY_MICROS = 60_000_000;

    /** To how many digits latencies are counted. */
    private static final int LATENCY_DIGITS = 2;

    /** The first request is due this long after the start, when all threads wait for theirs. */
    private static final long START_DELAY_NANOS = 20_000_000;

    private static final double NANOS_PER_SECOND = 1e9;

    /** The highest rate of a plan, in requests a second. */
    private static final double MAX_RATE = 1e6;

    private static final double MAX_SECONDS = 3600;
    private static final int MAX_CONNECTIONS = 4096;

    /** The search for the highest rate ends when it is known to this share. */
    private static final double RATE_PRECISION_SHARE = 0.1;

    /** The search gives up where not even this rate holds, in requests a second. */
    private static final double MIN_RATE = 1;

    /** Stands for the status of a request that got no whole response. */
    private static final int NO_RESPONSE = 0;

    /**
     * What to send.
     *
     * @param target a loopback address
     * @param rate requests a second, over 0
     * @param durationSeconds for how long, over 0; the warm-up comes before and is left out
     * @param warmUpSeconds seconds of warm-up, 0 or more
     * @param connections how many requests may be open at once, 1 to 4096
     * @param requestClass the request class that each request names
     * @param timeoutSeconds seconds after which a request has failed, over 0
     */
    public record Plan(
            InetSocketAddress target,
            double rate,
            double durationSeconds,
            double warmUpSeconds,
            int connections,
            String requestClass,
            double timeoutSeconds) {
        /**
         * Checks the plan.
         *
         * @throws InvalidSettingsException where a figure is out of its range or the address is not
         *     loopback
         */
        public Plan {
            if (target.isUnresolved() || !target.getAddress().isLoopbackAddress()) {
                throw new InvalidSettingsException(
                        "not a loopback address: " + target.getHostString());
            }
            if (!(rate > 0 && rate <= MAX_RATE)
                    || !(durationSeconds > 0 && durationSeconds <= MAX_SECONDS)
                    || !(warmUpSeconds >= 0)
                    || connections < 1
                    || connections > MAX_CONNECTIONS
                    || !(timeoutSeconds > 0)) {
                throw new InvalidSettingsException(
                        "a load that cannot be: rate "
                                + rate
                                + ", seconds "
                                + durationSeconds
                                + ", connections "
                                + connections);
            }
        }

        private Plan withRate(double newRate) {
            return new Plan(
                    target,
                    newRate,
                    durationSeconds,
                    warmUpSeconds,
                    connections,
                    requestClass,
                    timeoutSeconds);
        }
    }

    /**
     * What came of a load.
     *
     * @param latency of the requests that succeeded, in microseconds
     * @param sent how many requests were due after the warm-up
     * @param succeeded those answered with status 200
     * @param rejected those answered with status 429 or 503
     * @param failed all others
     * @param sentLate those that were sent late for want of a free connection
     */
    public record Result(
            Histogram latency,
            long sent,
            long succeeded,
            long rejected,
            long failed,
            long sentLate) {
        /** Whether the load kept its rate: at most one request in a hundred was sent late. */
        public boolean reachedRate() {
            return sentLate <= sent / MAX_LATE_SENDS_DIVISOR;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "sent %d, %s %d, %s %d, failed %d, us: 50%% %d, "
                            + "90%% %d, 99%% %d, 99.9%% %d, most %d%s",
                    sent,
                    ReportKeys.SUCCEEDED,
                    succeeded,
                    ReportKeys.REJECTED,
                    rejected,
                    failed,
                    latency.getValueAtPercentile(50),
                    latency.getValueAtPercentile(90),
                    latency.getValueAtPercentile(99),
                    latency.getValueAtPercentile(99.9),
                    latency.getMaxValue(),
                    reachedRate()
                            ? ""
                            : "; BEHIND: " + sentLate + " went out late, the rate was not reached");
        }
    }

    private final Plan plan;
    private final AtomicLong nextIndex = new AtomicLong();
    private final long totalCount;
    private final long warmUpCount;
    private final long originNanos = System.nanoTime() + START_DELAY_NANOS;
    private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, LATENCY_DIGITS);
    private long sent;
    private long succeeded;
    private long rejected;
    private long failed;
    private long sentLate;

    private LoadGenerator(Plan plan) {
        this.plan = plan;
        warmUpCount = (long) (plan.rate * plan.warmUpSeconds);
        totalCount = warmUpCount + (long) Math.max(1, plan.rate * plan.durationSeconds);
    }

    /**
     * Plays a plan and returns when its last request has ended.
     *
     * @throws InterruptedException where the calling thread is interrupted
     */
    public static Result run(Plan plan) throws InterruptedException {
        LoadGenerator load = new LoadGenerator(plan);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < plan.connections; i++) {
            Thread thread = new Thread(load::sendAll, "load-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return new Result(
                load.latency, load.sent, load.succeeded, load.rejected, load.failed, load.sentLate);
    }

    /**
     * The highest rate, by doubling and then halving the gap, at which a percentile of the latency
     * stays within a bound and every request succeeds; 0 where not even one a second does.
     *
     * @param first the plan to begin with
     * @param percentile such as 99
     * @param boundSeconds for the latency at that percentile
     * @throws InterruptedException where the calling thread is interrupted
     */
    public static double findHighestRate(Plan first, double percentile, double boundSeconds)
            throws InterruptedException {
        double highestGood = 0;
        double lowestBad = Double.POSITIVE_INFINITY;
        double rate = first.rate;
        while (lowestBad - highestGood > RATE_PRECISION_SHARE * highestGood && rate <= MAX_RATE) {
            if (meetsBound(run(first.withRate(rate)), percentile, boundSeconds)) {
                highestGood = rate;
            } else {
                lowestBad = rate;
            }
            rate = lowestBad == Double.POSITIVE_INFINITY ? 2 * rate : (highestGood + lowestBad) / 2;
            if (highestGood == 0 && rate < MIN_RATE) {
                return 0;
            }
        }
        return highestGood;
    }

    private static boolean meetsBound(Result result, double percentile, double boundSeconds) {
        return result.reachedRate()
                && result.failed == 0
                && result.rejected == 0
                && result.latency.getValueAtPercentile(percentile) <= boundSeconds * 1e6;
    }

    /** One thread: takes the next request that is due until there is none. */
    private void sendAll() {
        try (LoadConnection connection = new LoadConnection(plan.target, plan.timeoutSeconds)) {
            for (long index = nextIndex.getAndIncrement();
                    index < totalCount;
                    index = nextIndex.getAndIncrement()) {
                send(index, connection);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(long index, LoadConnection connection) throws InterruptedException {
        long dueNanos = originNanos + (long) (index / plan.rate * NANOS_PER_SECOND);
        sleepUntil(dueNanos);
        double lateSeconds = (System.nanoTime() - dueNanos) / NANOS_PER_SECOND;
        try {
            connection.open();
            int status = connection.sendAndReceive(encodeRequest(index));
            recordOutcome(index, dueNanos, lateSeconds, status);
            connection.closeIfServerCloses();
        } catch (IOException e) {
            // A request that failed is not counted as sent late as well.
            recordOutcome(index, dueNanos, 0, NO_RESPONSE);
            connection.close();
        }
    }

    private static void sleepUntil(long time) throws InterruptedException {
        for (long wait = time - System.nanoTime(); wait > 0; wait = time - System.nanoTime()) {
            Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
        }
    }

    private byte[] encodeRequest(long index) {
        return ("GET /load HTTP/1.1\r\nHost: load\r\nX-Trace-Id: load-"
                        + originNanos
                        + "-"
                        + index
                        + "\r\nX-Qos: "
                        + plan.requestClass
                        + "\r\nX-Expires-In-Ms: "
                        + (long) (plan.timeoutSeconds * 1000)
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private synchronized void recordOutcome(
            long index, long dueNanos, double lateSeconds, int status) {
        if (index < warmUpCount) {
            return;
        }
        sent++;
        sentLate += lateSeconds > LATE_SEND_SECONDS ? 1 : 0;
        switch (status) {
            case 200 -> {
                succeeded++;
                long latencyMicros = (System.nanoTime() - dueNanos) / 1000;
                latency.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(1, latencyMicros)));
            }
            case 429, 503 -> rejected++;
            default -> failed++;
        }
    }
}
