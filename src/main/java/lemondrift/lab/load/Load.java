package lemondrift.lab.load;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import lemondrift.settings.InvalidSettingsException;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at a stated rate, whatever becomes of those before (an open loop), and counts each
 * one's latency from when it should have been sent: waiting for a free connection is the client's
 * time too. Loopback alone.
 */
public final class Load {
    /**
     * A request that goes out this many seconds late shows that the load is too weak for the rate.
     */
    private static final double BEHIND = 0.01;

    /** Latencies in microseconds up to a minute, to two digits. */
    private static final long LONGEST = 60_000_000;

    /** Beside a status: the connection closes after it. */
    private static final int CLOSES = 1 << 16;

    /**
     * What to send.
     *
     * @param to a loopback address
     * @param rate requests a second, over 0
     * @param seconds for how long, over 0; the warm-up comes before and is left out
     * @param connections how many requests may be open at once, 1 to 4096
     * @param grade the request class that each names
     * @param timeout seconds after which a request has failed
     */
    public record Plan(
            InetSocketAddress to,
            double rate,
            double seconds,
            double warmUp,
            int connections,
            String grade,
            double timeout) {
        /**
         * Checks the plan.
         *
         * @throws InvalidSettingsException where a figure is out of its range or the address is not
         *     loopback
         */
        public Plan {
            if (to.isUnresolved() || !to.getAddress().isLoopbackAddress()) {
                throw new InvalidSettingsException("not a loopback address: " + to.getHostString());
            }
            if (!(rate > 0 && rate <= 1e6)
                    || !(seconds > 0 && seconds <= 3600)
                    || !(warmUp >= 0)
                    || connections < 1
                    || connections > 4096
                    || !(timeout > 0)) {
                throw new InvalidSettingsException(
                        "a load that cannot be: rate "
                                + rate
                                + ", seconds "
                                + seconds
                                + ", connections "
                                + connections);
            }
        }
    }

    /** What came of it; latencies are those of 200 answers, in microseconds. */
    public record Result(
            Histogram latency, long sent, long delivered, long shed, long failed, long behind) {
        /**
         * Whether the load was what was asked for: at most one request in a hundred went out late.
         */
        public boolean keptUp() {
            return behind <= sent / 100;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "sent %d, delivered %d, shed %d, failed %d, us: 50%% %d, "
                            + "90%% %d, 99%% %d, 99.9%% %d, most %d%s",
                    sent,
                    delivered,
                    shed,
                    failed,
                    latency.getValueAtPercentile(50),
                    latency.getValueAtPercentile(90),
                    latency.getValueAtPercentile(99),
                    latency.getValueAtPercentile(99.9),
                    latency.getMaxValue(),
                    keptUp()
                            ? ""
                            : "; BEHIND: " + behind + " went out late, the rate was not reached");
        }
    }

    private final Plan plan;
    private final AtomicLong next = new AtomicLong();
    private final long total;
    private final long warm;
    private final long origin = System.nanoTime() + 20_000_000;
    private final Histogram latency = new Histogram(LONGEST, 2);
    private long sent;
    private long succeeded;
    private long rejected;
    private long failed;
    private long behind;

    private Load(Plan plan) {
        this.plan = plan;
        warm = (long) (plan.rate * plan.warmUp);
        total = warm + (long) Math.max(1, plan.rate * plan.seconds);
    }

    /** Plays a plan and returns when its last request has ended. */
    public static Result play(Plan plan) throws InterruptedException {
        Load load = new Load(plan);
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < plan.connections; c++) {
            Thread thread = new Thread(load::sendAll, "load-" + c);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread each : threads) {
            each.join();
        }
        return new Result(
                load.latency, load.sent, load.succeeded, load.rejected, load.failed, load.behind);
    }

    /**
     * The highest rate, by doubling and then halving the gap, at which a quantile of latency stays
     * within a bound and nothing fails.
     *
     * @param quantile in percent, as 99
     * @param bound in seconds
     */
    public static double highestRate(Plan first, double quantile, double bound)
            throws InterruptedException {
        double good = 0;
        double bad = Double.POSITIVE_INFINITY;
        double rate = first.rate;
        while (bad - good > 0.1 * good && rate <= 1e6) {
            Result result =
                    play(
                            new Plan(
                                    first.to,
                                    rate,
                                    first.seconds,
                                    first.warmUp,
                                    first.connections,
                                    first.grade,
                                    first.timeout));
            boolean holds =
                    result.keptUp()
                            && result.failed == 0
                            && result.shed == 0
                            && result.latency.getValueAtPercentile(quantile) <= bound * 1e6;
            good = holds ? rate : good;
            bad = holds ? bad : rate;
            rate = bad == Double.POSITIVE_INFINITY ? 2 * rate : (good + bad) / 2;
            if (good == 0 && rate < 1) {
                return 0;
            }
        }
        return good;
    }

    private void sendAll() {
        Socket socket = null;
        for (long i = next.getAndIncrement(); i < total; i = next.getAndIncrement()) {
            long due = origin + (long) (i / plan.rate * 1e9);
            try {
                sleepUntil(due);
                double late = (System.nanoTime() - due) / 1e9;
                socket = socket == null ? connect() : socket;
                socket.getOutputStream().write(request(i));
                int status = status(socket);
                count(i, due, late, status & ~CLOSES);
                socket = (status & CLOSES) == 0 ? socket : close(socket);
            } catch (IOException e) {
                count(i, due, 0, 0);
                socket = close(socket);
            } catch (InterruptedException e) {
                break;
            }
        }
        close(socket);
    }

    private static void sleepUntil(long time) throws InterruptedException {
        for (long wait = time - System.nanoTime(); wait > 0; wait = time - System.nanoTime()) {
            Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) Math.ceil(plan.timeout * 1000));
        socket.connect(plan.to, (int) Math.ceil(plan.timeout * 1000));
        return socket;
    }

    private static Socket close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is of no more use either way.
        }
        return null;
    }

    private byte[] request(long i) {
        return ("GET /load HTTP/1.1\r\nHost: load\r\nX-Trace-Id: load-"
                        + origin
                        + "-"
                        + i
                        + "\r\nX-Qos: "
                        + plan.grade
                        + "\r\nX-Expires-In-Ms: "
                        + (long) (plan.timeout * 1000)
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads one answer whole; its status. */
    private static int status(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0 || head.length() > 16_384) {
                throw new IOException("no whole answer");
            }
            head.append((char) c);
        }
        String text = head.toString().toLowerCase(Locale.ROOT);
        int at = text.indexOf("content-length: ");
        int length =
                at < 0
                        ? 0
                        : Integer.parseInt(
                                text.substring(at + 16, text.indexOf("\r\n", at)).strip());
        if (in.readNBytes(length).length < length) {
            throw new IOException("no whole answer");
        }
        return Integer.parseInt(text.substring(9, 12))
                | (text.contains("connection: close") ? CLOSES : 0);
    }

    private synchronized void count(long i, long due, double late, int status) {
        if (i < warm) {
            return;
        }
        sent++;
        behind += late > BEHIND ? 1 : 0;
        if (status == 200) {
            succeeded++;
            latency.recordValue(Math.min(LONGEST, Math.max(1, (System.nanoTime() - due) / 1000)));
        } else if (status == 429 || status == 503) {
            rejected++;
        } else {
            failed++;
        }
    }
}
