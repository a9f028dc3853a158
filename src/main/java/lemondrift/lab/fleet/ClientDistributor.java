package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.IntUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Distributes client requests among the open proxies in proportion to their traffic weights. A
 * proxy is open from its first successful health check until it is closed. I/O thread only.
 */
final class ClientDistributor implements ClientTargets {
    /** The time between two health checks of a proxy that is not open. */
    private static final double HEALTH_CHECK_INTERVAL_SECONDS = 0.2;

    private static final byte[] HEALTH_CHECK =
            HttpConnection.encodeMessage("GET /healthz HTTP/1.1\r\nHost: origin.svc", new byte[0]);

    private final TestbedContext context;
    private final List<InetSocketAddress> addresses;
    private final UniformRandomProvider random;
    private final boolean[] open;
    private final double[] trafficWeights;

    /**
     * Creates a distributor whose proxies are all closed.
     *
     * @param logStandardDeviation the standard deviation of the logarithm of a proxy's traffic
     *     weight; 0 gives all proxies the same weight
     * @param random the random numbers, used only for the weights and the picks
     */
    ClientDistributor(
            TestbedContext context,
            List<InetSocketAddress> addresses,
            double logStandardDeviation,
            UniformRandomProvider random) {
        this.context = context;
        this.addresses = addresses;
        this.random = random;
        ZigguratSampler.NormalizedGaussian normal = ZigguratSampler.NormalizedGaussian.of(random);
        open = new boolean[addresses.size()];
        trafficWeights = new double[addresses.size()];
        Arrays.setAll(trafficWeights, proxy -> Math.exp(logStandardDeviation * normal.sample()));
    }

    @Override
    public boolean areBackends() {
        return false;
    }

    @Override
    public InetSocketAddress address(int proxy) {
        return addresses.get(proxy);
    }

    @Override
    public OptionalInt pick(IntUnaryOperator inFlight) {
        double totalWeight = 0;
        for (int proxy = 0; proxy < open.length; proxy++) {
            totalWeight += open[proxy] ? trafficWeights[proxy] : 0;
        }
        double remainingWeight = random.nextDouble() * totalWeight;
        OptionalInt picked = OptionalInt.empty();
        for (int proxy = 0; proxy < open.length && remainingWeight >= 0; proxy++) {
            if (open[proxy]) {
                picked = OptionalInt.of(proxy);
                remainingWeight -= trafficWeights[proxy];
            }
        }
        return picked;
    }

    @Override
    public boolean isOpen(int proxy) {
        return open[proxy];
    }

    /** Returns the numbers of the proxies that are not open. */
    List<Integer> closedProxies() {
        List<Integer> closed = new ArrayList<>();
        for (int proxy = 0; proxy < open.length; proxy++) {
            if (!open[proxy]) {
                closed.add(proxy);
            }
        }
        return closed;
    }

    /** Stops sending requests to a proxy until it is opened again. */
    void close(int proxy) {
        open[proxy] = false;
    }

    /**
     * Repeats health checks of a proxy until one succeeds, then opens the proxy and runs the
     * callback.
     */
    void openWhenHealthy(int proxy, Runnable onOpen) {
        HttpConnection.Listener listener = new HealthCheck(proxy, onOpen);
        HttpConnection.open(
                context.ioThread(),
                address(proxy),
                listener,
                connection -> sendHealthCheck(proxy, onOpen, connection));
    }

    private void sendHealthCheck(int proxy, Runnable onOpen, Optional<HttpConnection> connection) {
        connection.ifPresentOrElse(
                established -> established.write(HEALTH_CHECK),
                () -> checkAgainLater(proxy, onOpen));
    }

    private void checkAgainLater(int proxy, Runnable onOpen) {
        context.scheduler()
                .after(HEALTH_CHECK_INTERVAL_SECONDS, () -> openWhenHealthy(proxy, onOpen));
    }

    /** Closes the proxy and repeats health checks until it can be opened again. */
    @Override
    public void reportUnreachable(int proxy) {
        if (open[proxy]) {
            open[proxy] = false;
            checkAgainLater(proxy, () -> {});
        }
    }

    /** The connection of one health check. */
    private final class HealthCheck implements HttpConnection.Listener {
        private final int proxy;
        private final Runnable onOpen;

        HealthCheck(int proxy, Runnable onOpen) {
            this.proxy = proxy;
            this.onOpen = onOpen;
        }

        @Override
        public void onMessage(HttpConnection connection, String head, byte[] body) {
            connection.close();
            if (head.startsWith("HTTP/1.1 200 ")) {
                open[proxy] = true;
                onOpen.run();
            } else {
                checkAgainLater(proxy, onOpen);
            }
        }

        @Override
        public void onClosed(HttpConnection connection) {
            checkAgainLater(proxy, onOpen);
        }
    }
}
