package lemondrift.lab.world;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** What came of a day. Benefit counts once for what a client wants, however often it asks. */
public final class Figures {
    /** Benefit that clients wanted, and that was answered within the contract time. */
    public double wanted, served;
    /** Exchanges that proxies took, and how they ended; forwards made, probes sent. */
    public long taken, delivered, late, shed, scrapped, unanswered, forwards, probes;
    /** Bytes that proxies told one another. */
    public long told;
    /** Cold backends that were pushed over and stayed down. */
    public long fallen;

    /** Benefit wanted and served by the second in which it was wanted; forwards that failed, by backend. */
    public final double[] wantedIn, servedIn;
    public final long[] failedAt;

    Figures(Day day) {
        wantedIn = new double[(int) Math.ceil(day.lasts()) + 1];
        servedIn = new double[wantedIn.length];
        failedAt = new long[day.backends()];
    }

    /** The first second of the window of so many in which most benefit was lost. */
    public int worstWindow(int seconds) {
        int worst = 0;
        double most = -1;
        for (int from = 0; from + seconds <= wantedIn.length; from++) {
            double lost = 0;
            for (int s = from; s < from + seconds; s++) {
                lost += wantedIn[s] - servedIn[s];
            }
            if (lost > most) {
                most = lost;
                worst = from;
            }
        }
        return worst;
    }

    /** The backends at which most forwards failed, so many at the most, the worst first. */
    public List<Integer> worstBackends(int most) {
        return IntStream.range(0, failedAt.length).boxed().filter(i -> failedAt[i] > 0)
                .sorted(Comparator.comparing((Integer i) -> -failedAt[i])).limit(most).toList();
    }

    /** The share of benefit answered in time, 0 to 1. */
    public double service() {
        return wanted == 0 ? 1 : served / wanted;
    }

    @Override
    public String toString() {
        return String.format("service %.4f, taken %d, delivered %d, late %d, shed %d, scrapped %d, "
                + "unanswered %d, forwards %d, probes %d, fallen %d, told %d", service(), taken, delivered,
                late, shed, scrapped, unanswered, forwards, probes, fallen, told);
    }
}
