package lemondrift.connection;

import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Compares the learned keep-alive with fixed idle timeouts over mixes of clients, in virtual time.
 * Run by hand, not in CI. Clients hold at most 0.62 of the connections, as behind a front proxy
 * with its own limit of descriptors; a request without a free connection is refused. Prints for
 * each policy the share of requests refused, the share that opened a connection, and the mean
 * number of open connections.
 */
final class KeepAliveSimulation {
    private static final int MAX_CONNECTIONS = 206;
    private static final int ACCEPT_LIMIT = 227;
    private static final int MAX_CLIENT_CONNECTIONS = 128;
    private static final double DURATION_SECONDS = 60;

    /**
     * The distribution of the time before a client's next request. After its last request a client
     * stays connected and idle.
     */
    private interface RequestIntervals {
        double nextSeconds(SplittableRandom random);
    }

    /**
     * Steady clients that send requests for the whole time, and transient clients that connect,
     * send a few requests and stay connected.
     */
    private record ClientMix(
            String name,
            int steadyClients,
            RequestIntervals steadyIntervals,
            double transientClientsPerSecond,
            int requestsPerTransientClient) {}

    private static final class Client {
        int requestsLeft;
        int connection = ConnectionPolicy.NO_CONNECTION;
        double nextRequestAt;
        final RequestIntervals intervals;

        Client(int requestsLeft, double nextRequestAt, RequestIntervals intervals) {
            this.requestsLeft = requestsLeft;
            this.nextRequestAt = nextRequestAt;
            this.intervals = intervals;
        }
    }

    private final ClientMix mix;
    private final double fixedIdleSeconds;
    private final ConnectionPolicyModel model;
    private final SplittableRandom random = new SplittableRandom(11);
    private final PriorityQueue<Client> clients =
            new PriorityQueue<>((a, b) -> Double.compare(a.nextRequestAt, b.nextRequestAt));
    private double nextTransientClientAt;
    private double nextSweepAt;
    private double connectionsSum;
    private long sweeps;
    private long requests;
    private long opened;
    private long refused;

    /**
     * Creates a simulation.
     *
     * @param fixedIdleSeconds the fixed idle timeout; NaN for the learned limit
     */
    private KeepAliveSimulation(ClientMix mix, double fixedIdleSeconds) {
        this.mix = mix;
        this.fixedIdleSeconds = fixedIdleSeconds;
        model = new ConnectionPolicyModel(limits());
    }

    public static void main(String[] args) {
        RequestIntervals halfSecond = random -> -0.5 * Math.log(1 - random.nextDouble());
        List<ClientMix> mixes =
                List.of(
                        new ClientMix(
                                "steady clients only, 0.5 s between requests",
                                40,
                                halfSecond,
                                0,
                                1),
                        new ClientMix(
                                "steady, and 60 per second that send one request and stay",
                                40,
                                halfSecond,
                                60,
                                1),
                        new ClientMix(
                                "steady, and 15 per second that send five requests within 0.2 s and"
                                        + " stay",
                                40,
                                halfSecond,
                                15,
                                5));
        for (ClientMix mix : mixes) {
            System.out.println(mix.name);
            for (double fixed : new double[] {Double.NaN, 0, 1, 2.2, 10}) {
                new KeepAliveSimulation(mix, fixed).run();
            }
        }
    }

    private boolean isLearned() {
        return Double.isNaN(fixedIdleSeconds);
    }

    /**
     * Fixed timeouts get limits so high that a slot has no price: each connection stays for its
     * whole idle timeout.
     */
    private ConnectionLimits limits() {
        double idleSeconds = Math.max(0.2, fixedIdleSeconds);
        return new ConnectionLimits(
                isLearned() ? MAX_CONNECTIONS : 1_000_000,
                isLearned() ? ACCEPT_LIMIT : 1_000_000,
                isLearned() ? 2.2 : idleSeconds,
                isLearned() ? 2 : idleSeconds,
                ConnectionLimits.Sharing.CONNECTION,
                false,
                2048,
                1);
    }

    private void run() {
        for (int i = 0; i < mix.steadyClients; i++) {
            clients.add(
                    new Client(
                            Integer.MAX_VALUE,
                            model.now + random.nextDouble(),
                            mix.steadyIntervals));
        }
        double startedAt = model.now;
        nextTransientClientAt = startedAt;
        nextSweepAt = startedAt;
        while (model.now < startedAt + DURATION_SECONDS) {
            addTransientClient();
            Client client = clients.poll();
            sweepUntil(client.nextRequestAt);
            model.now = client.nextRequestAt;
            sendRequest(client);
            if (--client.requestsLeft > 0) {
                client.nextRequestAt =
                        model.now + Math.max(0.01, client.intervals.nextSeconds(random));
                clients.add(client);
            }
        }
        System.out.printf(
                "  %-8s refused %.3f  opened %.3f  connections %.0f%n",
                isLearned() ? "learned" : fixedIdleSeconds + " s",
                (double) refused / requests,
                (double) opened / requests,
                connectionsSum / sweeps);
    }

    private void addTransientClient() {
        if (mix.transientClientsPerSecond > 0
                && nextTransientClientAt <= clients.peek().nextRequestAt) {
            clients.add(
                    new Client(
                            mix.requestsPerTransientClient,
                            nextTransientClientAt,
                            ignored -> 0.05));
            nextTransientClientAt -=
                    Math.log(1 - random.nextDouble()) / mix.transientClientsPerSecond;
        }
    }

    private void sweepUntil(double instant) {
        while (nextSweepAt < instant) {
            model.now = nextSweepAt;
            model.policy.evictExcess(model.now);
            model.policy.sweep(model.now);
            connectionsSum += model.clients.size();
            sweeps++;
            nextSweepAt += 0.1;
        }
    }

    private void sendRequest(Client client) {
        requests++;
        boolean isOpen = isOpen(client);
        if (!isOpen && model.clients.size() >= MAX_CLIENT_CONNECTIONS) {
            refused++;
            return;
        }
        if (!isOpen) {
            client.connection = model.accept(System.identityHashCode(client));
            opened++;
        }
        model.sendRequest(client.connection, 0);
        if (model.respond(client.connection, 1) && fixedIdleSeconds == 0) {
            model.disconnect(client.connection);
        }
    }

    private boolean isOpen(Client client) {
        return model.clients.containsKey(client.connection)
                && model.clients.get(client.connection).address == System.identityHashCode(client);
    }
}
