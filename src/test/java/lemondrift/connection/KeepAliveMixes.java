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
    private static final int CLIENTS = 128;
    private static final double LASTS = 60;

    /** Asks again after a gap; goes after so many, staying on its connection without a word. */
    private interface Habit {
        double gap(SplittableRandom random);
    }

    private record Mix(String name, int usual, Habit habit, double onceRate, int burst) {}

    private static final class Client {
        int asksLeft;
        int connection = -1;
        double at;
        final Habit habit;

        Client(int asksLeft, double at, Habit habit) {
            this.asksLeft = asksLeft;
            this.at = at;
            this.habit = habit;
        }
    }

    private KeepAliveMixes() {}

    public static void main(String[] args) {
        Habit half = random -> -0.5 * Math.log(1 - random.nextDouble());
        List<Mix> mixes =
                List.of(
                        new Mix("usual alone, 0.5 s between", 40, half, 0, 1),
                        new Mix("usual, and 60 a second that ask once and stay", 40, half, 60, 1),
                        new Mix(
                                "usual, and 15 a second that ask five times within 0.2 s and stay",
                                40,
                                half,
                                15,
                                5));
        for (Mix mix : mixes) {
            System.out.println(mix.name);
            for (double fixed : new double[] {Double.NaN, 0, 1, 2.2, 10}) {
                play(mix, fixed);
            }
        }
    }

    private static void play(Mix mix, double fixed) {
        boolean learns = Double.isNaN(fixed);
        // Fixed ones: no price, so that each stays for the whole time that it may be quiet.
        ConnectionLimits limits =
                new ConnectionLimits(
                        learns ? PLACES : 1_000_000,
                        learns ? 227 : 1_000_000,
                        learns ? 2.2 : Math.max(0.2, fixed),
                        learns ? 2 : Math.max(0.2, fixed),
                        ConnectionLimits.Sharing.CONNECTION,
                        false,
                        2048,
                        1);
        ConnectionPolicyModel street = new ConnectionPolicyModel(limits);
        SplittableRandom chance = new SplittableRandom(11);
        PriorityQueue<Client> next = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
        for (int i = 0; i < mix.usual; i++) {
            next.add(new Client(Integer.MAX_VALUE, street.now + chance.nextDouble(), mix.habit));
        }
        Habit quick = random -> 0.05;
        double began = street.now;
        double onceAt = began;
        double sweepAt = began;
        double places = 0;
        long asked = 0;
        long opened = 0;
        long out = 0;
        long sweeps = 0;
        while (street.now < began + LASTS) {
            if (mix.onceRate > 0 && onceAt <= next.peek().at) {
                next.add(new Client(mix.burst, onceAt, quick));
                onceAt -= Math.log(1 - chance.nextDouble()) / mix.onceRate;
            }
            Client client = next.poll();
            while (sweepAt < client.at) {
                street.now = sweepAt;
                street.door.sweep(street.now);
                places += street.clients.size();
                sweeps++;
                sweepAt += 0.1;
            }
            street.now = client.at;
            asked++;
            boolean open =
                    client.connection >= 0
                            && street.clients.containsKey(client.connection)
                            && street.clients.get(client.connection).address
                                    == System.identityHashCode(client);
            if (!open && street.clients.size() >= CLIENTS) {
                out++;
            } else {
                if (!open) {
                    client.connection = street.comes(System.identityHashCode(client));
                    opened++;
                }
                street.opens(client.connection, 0);
                if (street.answered(client.connection, 1) && fixed == 0) {
                    street.leaves(client.connection);
                }
            }
            if (--client.asksLeft > 0) {
                client.at = street.now + Math.max(0.01, client.habit.gap(chance));
                next.add(client);
            }
        }
        System.out.printf(
                "  %-8s kept out %.3f  opened %.3f  places %.0f%n",
                learns ? "learned" : fixed + " s",
                (double) out / asked,
                (double) opened / asked,
                places / sweeps);
    }
}
