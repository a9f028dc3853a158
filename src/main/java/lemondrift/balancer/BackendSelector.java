package lemondrift.balancer;

import java.util.*;
import lemondrift.model.*;

/** The part of the fleet that this proxy uses, who of it is asked for a report, and the least estimate. */
final class BackendSelector extends DecisionStage {
    /** The share that a utilisation higher by one makes late, an old tie's width, how much a fresh report is
     * trusted, for which share of the window an answer is awaited, and what of cold ones is for benefit. */
    private static final double HARM = 0.5, TIE = 0.125, FRESH = 0.6, PATIENCE = 1.0 / 32, SPARE = 0.25;
    /** So many times the part are drawn at the most to find others that can take a request. */
    private static final int LOOKED_AT = 32;

    private final BackendTable fleet;
    private final UtilizationEstimator estimate;
    private final Eligibility eligibility;
    private final DeterministicRandom chance;
    private final Deque<Request> kept = new ArrayDeque<>();
    private double swapAt;

    BackendSelector(BackendTable fleet, UtilizationEstimator estimate, Eligibility eligibility, DeterministicRandom chance) {
        this.fleet = fleet;
        this.estimate = estimate;
        this.eligibility = eligibility;
        this.chance = chance;
    }

    /** How many it uses: where others tell all that they tell of, else those that it hears from often. */
    private int part(double now) {
        fleet.arrange();
        return estimate.othersHeard && fleet.told > 0 ? fleet.told : (int) Math.min(fleet.order.length,
                Math.max(UtilizationEstimator.PART, estimate.ownRate.at(now) * estimate.memory));
    }

    /** Exchanges one of the part from time to time, and at once whoever can't be used. */
    private void renew(Request x, double now) {
        int part = part(now), leaving = -1;
        // Danger: others tell of none beyond the part, and who takes any of the rest sends there blindly.
        int rest = estimate.othersHeard ? 0 : fleet.order.length - part;
        if (now >= swapAt) {
            swapAt = now + chance.jitter(estimate.memory);
            leaving = estimate.othersHeard ? -1 : (int) (chance.next() * part);
            fleet.home();
        }
        for (int j = 0; j < part && rest > 0; j++) {
            if (j == leaving || !mayTake(x, fleet.order[j], now)) {
                fleet.swap(j, part + (int) (chance.next() * rest));
            }
        }
    }

    /** Danger: one that leaves a probe unanswered looks as idle as it last was. */
    @Override
    boolean mayTake(Request x, int i, double now) {
        return (fleet.askedAt[i] == 0 || now - fleet.askedAt[i] < PATIENCE * estimate.window)
                && super.mayTake(x, i, now);
    }

    /** Ranks the part by estimate and, beyond it, crossing's charge as a share of the exchange's benefit. */
    private void rank(Request x, int part, double now) {
        double usual = fleet.stated.benefits().average().orElse(1);
        double cross = fleet.stated.charges().crossing() / HARM * usual
                / Math.max(x.terms.grade().benefit(), usual / 100);
        int[] order = fleet.order;
        for (int j = 0; j < part; j++) {
            int i = order[j], at = j;
            fleet.figure[i] = !mayTake(x, i, now) ? Double.POSITIVE_INFINITY : estimate.of(i, now)
                    + (fleet.line[i].location() == fleet.stated.location() ? 0 : cross)
                    + (!estimate.old() ? 1e-6 * chance.next() : (1 - estimate.trust(i, now)) * (eligibility
                    .suspicion(i, now) - TIE * Math.log(1 - chance.next()) * estimate.worth(i, now)));
            for (; at > 0 && fleet.figure[order[at - 1]] > fleet.figure[i]; at--) {
                order[at] = order[at - 1];
            }
            order[at] = i;
        }
        // Danger: whoever takes the last room of cold ones for little keeps out what is worth most.
        int spare = part == 0 || fleet.coldShare(order[0], now) == 1 ? 0
                : (int) (SPARE * part * (1 - fleet.stated.rank(x.terms.grade())));
        x.best = part == 0 || fleet.figure[order[spare]] == Double.POSITIVE_INFINITY ? -1 : order[0];
    }

    /** Asks the least estimated for reports and keeps the exchange, until the least estimated is fresh. */
    boolean asks(Request x, double now, Decision turn) {
        if (x.asks == 0) {
            renew(x, now);
        }
        int part = part(now);
        rank(x, part, now);
        if (x.asks >= estimate.rounds() || x.best < 0 || estimate.trust(x.best, now) > FRESH) {
            return false;
        }
        x.asks++;
        x.asked = Arrays.copyOf(fleet.order, Math.min(UtilizationEstimator.ASKED, part));
        for (int i : x.asked) {
            if (fleet.askedAt[i] == 0 && estimate.trust(i, now) <= FRESH && mayTake(x, i, now)) {
                fleet.askedAt[i] = now;
                turn.probes.add(i);
            }
        }
        x.keptUntil = now + PATIENCE * estimate.window;
        return kept.add(x);
    }

    /** Danger: a part of which none can take the exchange would shed what others in the fleet could take. */
    boolean drawsOthers(Request x, double now) {
        // Danger: of the rest others tell nothing, so that the busiest there would look as idle as can be.
        int part = part(now), found = 0, most = estimate.othersHeard && x.best >= 0 ? 0 : part;
        // Danger: where nobody may take anything, to look at thousands would hold up all other answers.
        int end = (int) Math.min(fleet.order.length, part + (long) LOOKED_AT * Math.max(part, UtilizationEstimator.PART));
        for (int j = part; j < end && found < most && x.draws == 0; j++) {
            fleet.swap(j, j + (int) (chance.next() * (fleet.order.length - j)));
            if (mayTake(x, fleet.order[j], now)) {
                fleet.swap(found++, j);
            }
        }
        x.draws++;
        x.asks = 0;
        return found > 0;
    }

    /** The wait to expect: at the least loaded backend, and as own forwards meet it where reports are old. */
    double expectedWait(Request x, double now) {
        return x.best < 0 ? Double.POSITIVE_INFINITY : estimate.old() ? estimate.ownWait(x.best, now)
                : Math.max(estimate.known(x.best) ? 0 : (1 - estimate.trust(x.best, now))
                * estimate.metWait.at(now), estimate.wait(x.best, now));
    }

    /** The least wait to expect in the part as it stands; infinite where none may take the exchange. */
    double leastWait(Request x, double now) {
        // Danger: who asks is behind, and probes whose answers it has not read yet make nobody silent.
        return Arrays.stream(fleet.order).limit(part(now)).filter(i -> super.mayTake(x, i, now))
                .mapToDouble(i -> estimate.wait(i, now)).min().orElse(Double.POSITIVE_INFINITY);
    }

    @Override
    void offer(Request x, double now, Decision turn) {
        x.latest = new Attempt(x, x.best, now, x.contract - now, Math.max(0, estimate.of(x.best, now) - 1));
        x.forwards++;
        x.out++;
        x.asks = x.draws = 0;
        turn.sends.add(x.latest);
        estimate.sent(x.best, 1, now);
        eligibility.spend(x.best, 1, now);
    }

    /** Takes out an exchange whose asked have answered or that has waited long enough; null if none. */
    Request released(double now) {
        Request done = kept.stream().filter(x -> x.over || now >= x.keptUntil
                || Arrays.stream(x.asked).allMatch(i -> fleet.askedAt[i] == 0)).findFirst().orElse(null);
        kept.remove(done);
        return done;
    }

    double wakeAt() {
        return kept.isEmpty() ? Double.POSITIVE_INFINITY : kept.peek().keptUntil;
    }
}
