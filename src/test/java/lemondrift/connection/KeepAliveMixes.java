package lemondrift.connection;

import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * The learned keep-alive against fixed ones over mixes of clients, in virtual time; run by hand, no
 * part of CI. Clients hold 0.62 of the places at the most, as behind a front with descriptors of
 * its own; who finds no room is kept out. Prints for each policy the share kept out, the share that
 * opened a connection, and mean places.
 */
final class KeepAliveMixes {
    private static final int PLACES = 206;
    private static final int ACCEPT_LIMIT = 227;
    private static final int MAX_CLIENT_CONNECTIONS = 128;
    private static final double DURATION_SECONDS = 60;

    /** The time before a client's next request; after its last one it stays connected, silent. */
    private interface Habit {
        double gapSeconds(SplittableRandom random);
    }

    /**
     * Clients that go on for the whole time, and others that come, send a few requests and stay.
     */
    private record Mix(
            String name,
            int steadyClients,
            Habit steadyHabit,
            double passersPerSecond,
            int requestsOfPasser) {}

    private static final class Client {
        int requestsLeft;
        int connection = ConnectionPolicy.NO_CONNECTION;
        double nextRequestAt;
        final Habit habit;

        Client(int requestsLeft, double nextRequestAt, Habit habit) {
            this.requestsLeft = requestsLeft;
            this.nextRequestAt = nextRequestAt;
            this.habit = habit;
        }
    }

    private final Mix mix;
    private final double fixedIdleSeconds;
    private final ConnectionPolicyModel model;
    private final SplittableRandom random = new SplittableRandom(11);
    private final PriorityQueue<Client> clients =
            new PriorityQueue<>((a, b) -> Double.compare(a.nextRequestAt, b.nextRequestAt));
    private double nextPasserAt;
    private double nextSweepAt;
    private double connectionsSum;
    private long sweeps;
    private long requests;
    private long opened;
    private long keptOut;

    /** Not a number for the learned limit, else the fixed one. */
    private KeepAliveMixes(Mix mix, double fixedIdleSeconds) {
        this.mix = mix;
        this.fixedIdleSeconds = fixedIdleSeconds;
        model = new ConnectionPolicyModel(limits());
    }

    public static void main(String[] args) {
        Habit halfSecond = random -> -0.5 * Math.log(1 - random.nextDouble());
        List<Mix> mixes =
                List.of(
                        new Mix("usual alone, 0.5 s between", 40, halfSecond, 0, 1),
                        new Mix(
                                "usual, and 60 a second that ask once and stay",
                                40,
                                halfSecond,
                                60,
                                1),
                        new Mix(
                                "usual, and 15 a second that ask five times within 0.2 s and stay",
                                40,
                                halfSecond,
                                15,
                                5));
        for (Mix mix : mixes) {
            System.out.println(mix.name);
            for (double fixed : new double[] {Double.NaN, 0, 1, 2.2, 10}) {
                new KeepAliveMixes(mix, fixed).play();
            }
        }
    }

    private boolean isLearned() {
        return Double.isNaN(fixedIdleSeconds);
    }

    /** Fixed ones without a price, so that each stays for the whole time that it may be idle. */
    private ConnectionLimits limits() {
        double idleSeconds = Math.max(0.2, fixedIdleSeconds);
        return new ConnectionLimits(
                isLearned() ? PLACES : 1_000_000,
                isLearned() ? ACCEPT_LIMIT : 1_000_000,
                isLearned() ? 2.2 : idleSeconds,
                isLearned() ? 2 : idleSeconds,
                ConnectionLimits.Sharing.CONNECTION,
                false,
                2048,
                1);
    }

    private void play() {
        for (int i = 0; i < mix.steadyClients; i++) {
            clients.add(
                    new Client(
                            Integer.MAX_VALUE, model.now + random.nextDouble(), mix.steadyHabit));
        }
        double startedAt = model.now;
        nextPasserAt = startedAt;
        nextSweepAt = startedAt;
        while (model.now < startedAt + DURATION_SECONDS) {
            addPasser();
            Client client = clients.poll();
            sweepUntil(client.nextRequestAt);
            model.now = client.nextRequestAt;
            sendRequest(client);
            if (--client.requestsLeft > 0) {
                client.nextRequestAt = model.now + Math.max(0.01, client.habit.gapSeconds(random));
                clients.add(client);
            }
        }
        System.out.printf(
                "  %-8s kept out %.3f  opened %.3f  places %.0f%n",
                isLearned() ? "learned" : fixedIdleSeconds + " s",
                (double) keptOut / requests,
                (double) opened / requests,
                connectionsSum / sweeps);
    }

    private void addPasser() {
        if (mix.passersPerSecond > 0 && nextPasserAt <= clients.peek().nextRequestAt) {
            clients.add(new Client(mix.requestsOfPasser, nextPasserAt, ignored -> 0.05));
            nextPasserAt -= Math.log(1 - random.nextDouble()) / mix.passersPerSecond;
        }
    }

    private void sweepUntil(double instant) {
        while (nextSweepAt < instant) {
            model.now = nextSweepAt;
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
            keptOut++;
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
