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
 * Sends requests at a given rate, regardless of the outcome of earlier requests (an open loop).
 * Latency is measured from when a request was due, so that it includes the wait for a free
 * connection. Only loopback addresses are accepted as the target.
 */
public final class LoadGenerator {
    /** A request counts as sent late if it is sent more than this after it was due. */
    private static final double LATE_SEND_SECONDS = 0.01;

    /** The rate counts as reached if at most one in this number of requests is sent late. */
    private static final long MAX_LATE_SENDS_DIVISOR = 100;

    /** The longest latency that is recorded; longer ones are recorded as this value. */
    private static final long MAX_LATENCY_MICROS = 60_000_000;

    /** The number of significant digits of recorded latencies. */
    private static final int LATENCY_DIGITS = 2;

    /**
     * The delay of the first request after the start, in which all threads start and wait for their
     * first request.
     */
    private static final long START_DELAY_NANOS = 20_000_000;

    private static final double NANOS_PER_SECOND = 1e9;

    /** The highest rate of a plan, in requests per second. */
    private static final double MAX_RATE = 1e6;

    private static final double MAX_SECONDS = 3600;
    private static final int MAX_CONNECTIONS = 4096;

    /**
     * The search for the highest rate ends when the remaining gap is at most this share of the
     * rate.
     */
    private static final double RATE_PRECISION_SHARE = 0.1;

    /** The search fails if the bound is exceeded even at this rate, in requests per second. */
    private static final double MIN_RATE = 1;

    /** Represents the status of a request that got no complete response. */
    private static final int NO_RESPONSE = 0;

    /**
     * The load to send.
     *
     * @param target a loopback address
     * @param rate requests per second, over 0 and at most one million
     * @param durationSeconds duration without the warm-up, over 0 and at most 3600
     * @param warmUpSeconds duration of the warm-up, whose requests are not counted, 0 or more
     * @param connections maximum number of concurrent requests, 1 to 4096
     * @param requestClass the name of the request class in each request
     * @param timeoutSeconds time without a response after which a request fails, over 0
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
         * @throws InvalidSettingsException if a value is out of its range or the target is not a
         *     loopback address
         */
        public Plan {
            if (target.isUnresolved() || !target.getAddress().isLoopbackAddress()) {
                throw new InvalidSettingsException(
                        "expected a loopback address, found " + target.getHostString());
            }
            if (!(rate > 0 && rate <= MAX_RATE)
                    || !(durationSeconds > 0 && durationSeconds <= MAX_SECONDS)
                    || !(warmUpSeconds >= 0)
                    || connections < 1
                    || connections > MAX_CONNECTIONS
                    || !(timeoutSeconds > 0)) {
                throw new InvalidSettingsException(
                        "invalid load: rate "
                                + rate
                                + ", seconds "
                                + durationSeconds
                                + ", connections "
                                + connections
                                + ", warm-up "
                                + warmUpSeconds
                                + " s, timeout "
                                + timeoutSeconds
                                + " s: expected a rate over 0 and at most "
                                + MAX_RATE
                                + ", seconds over 0 and at most "
                                + MAX_SECONDS
                                + ", connections from 1 to "
                                + MAX_CONNECTIONS
                                + ", a warm-up of 0 s or more and a timeout over 0 s");
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
     * The result of a load.
     *
     * @param latency latency of the requests that succeeded, in microseconds
     * @param sent number of requests that were due after the warm-up
     * @param succeeded requests with a response of status 200
     * @param rejected requests with a response of status 429 or 503
     * @param failed all other requests
     * @param sentLate requests that were sent late because no connection was free
     */
    public record Result(
            Histogram latency,
            long sent,
            long succeeded,
            long rejected,
            long failed,
            long sentLate) {
        /** Returns whether the rate was reached: at most one request in a hundred was sent late. */
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
                            : "; BEHIND: "
                                    + sentLate
                                    + " requests were sent late, the rate was not reached");
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
     * Sends the load of a plan and returns when its last request has ended.
     *
     * @throws InterruptedException if the calling thread is interrupted
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
     * Searches for the highest rate at which the load generator keeps up, a percentile of the
     * latency stays within a bound and every request succeeds. The search doubles the rate and then
     * halves the gap. Returns the rate in requests per second; 0 if no rate of at least one per
     * second meets the conditions.
     *
     * @param first the plan of the first attempt, with the rate at which the search starts
     * @param percentile the percentile of the latency, such as 99
     * @param boundSeconds the bound of the latency at that percentile
     * @throws InterruptedException if the calling thread is interrupted
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

    /** Sends requests over one connection until none is left. Each thread runs this method. */
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
            // A failed request is not also counted as sent late.
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
