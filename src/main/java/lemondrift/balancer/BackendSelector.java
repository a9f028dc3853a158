package lemondrift.balancer;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import lemondrift.model.Attempt;
import lemondrift.model.Decision;
import lemondrift.model.Request;

/**
 * The part of the fleet that this proxy uses, who of it is asked for a report, and the least
 * estimate.
 */
final class BackendSelector extends DecisionStage {
    /**
     * The share that a utilisation higher by one makes late, an old tie's width, how much a fresh
     * report is trusted, for which share of the window an answer is awaited, and what of cold ones
     * is for benefit.
     */
    private static final double HARM = 0.5;

    private static final double TIE = 0.125;
    private static final double FRESH = 0.6;
    private static final double PATIENCE = 1.0 / 32;
    private static final double SPARE = 0.25;

    /** So many times the part are drawn at the most to find others that can take a request. */
    private static final int LOOKED_AT = 32;

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final Eligibility eligibility;
    private final DeterministicRandom random;
    private final Deque<Request> kept = new ArrayDeque<>();
    private double swapAt;

    BackendSelector(
            BackendTable backends,
            UtilizationEstimator estimator,
            Eligibility eligibility,
            DeterministicRandom random) {
        this.backends = backends;
        this.estimator = estimator;
        this.eligibility = eligibility;
        this.random = random;
    }

    /**
     * How many it uses: where others tell all that they tell of, else those that it hears from
     * often.
     */
    private int part(double now) {
        backends.arrange();
        return estimator.othersHeard && backends.told > 0
                ? backends.told
                : (int)
                        Math.min(
                                backends.order.length,
                                Math.max(
                                        UtilizationEstimator.PART,
                                        estimator.ownRate.at(now) * estimator.memory));
    }

    /** Exchanges one of the part from time to time, and at once whoever can't be used. */
    private void renew(Request request, double now) {
        int part = part(now);
        int leaving = -1;
        // Danger: others tell of none beyond the part, and who takes any of the rest sends there
        // blindly.
        int rest = estimator.othersHeard ? 0 : backends.order.length - part;
        if (now >= swapAt) {
            swapAt = now + random.jitter(estimator.memory);
            leaving = estimator.othersHeard ? -1 : (int) (random.next() * part);
            backends.home();
        }
        for (int j = 0; j < part && rest > 0; j++) {
            if (j == leaving || !mayTake(request, backends.order[j], now)) {
                backends.swap(j, part + (int) (random.next() * rest));
            }
        }
    }

    /** Danger: one that leaves a probe unanswered looks as idle as it last was. */
    @Override
    boolean mayTake(Request request, int i, double now) {
        return (backends.askedAt[i] == 0 || now - backends.askedAt[i] < PATIENCE * estimator.window)
                && super.mayTake(request, i, now);
    }

    /**
     * Ranks the part by estimate and, beyond it, crossing's charge as a share of the exchange's
     * benefit.
     */
    private void rank(Request request, int part, double now) {
        double usual = backends.stated.priorityWeights().average().orElse(1);
        double cross =
                backends.stated.costs().crossZone()
                        / HARM
                        * usual
                        / Math.max(request.terms.requestClass().priorityWeight(), usual / 100);
        int[] order = backends.order;
        for (int j = 0; j < part; j++) {
            int i = order[j];
            int at = j;
            backends.figure[i] =
                    !mayTake(request, i, now)
                            ? Double.POSITIVE_INFINITY
                            : estimator.of(i, now)
                                    + (backends.line[i].location() == backends.stated.location()
                                            ? 0
                                            : cross)
                                    + (!estimator.old()
                                            ? 1e-6 * random.next()
                                            : (1 - estimator.trust(i, now))
                                                    * (eligibility.suspicion(i, now)
                                                            - TIE
                                                                    * Math.log(1 - random.next())
                                                                    * estimator.worth(i, now)));
            for (; at > 0 && backends.figure[order[at - 1]] > backends.figure[i]; at--) {
                order[at] = order[at - 1];
            }
            order[at] = i;
        }
        // Danger: whoever takes the last room of cold ones for little keeps out what is worth most.
        int spare =
                part == 0 || backends.coldShare(order[0], now) == 1
                        ? 0
                        : (int)
                                (SPARE
                                        * part
                                        * (1
                                                - backends.stated.relativePriority(
                                                        request.terms.requestClass())));
        request.bestBackend =
                part == 0 || backends.figure[order[spare]] == Double.POSITIVE_INFINITY
                        ? -1
                        : order[0];
    }

    /**
     * Asks the least estimated for reports and keeps the exchange, until the least estimated is
     * fresh.
     */
    boolean asks(Request request, double now, Decision decision) {
        if (request.probeRounds == 0) {
            renew(request, now);
        }
        int part = part(now);
        rank(request, part, now);
        if (request.probeRounds >= estimator.rounds()
                || request.bestBackend < 0
                || estimator.trust(request.bestBackend, now) > FRESH) {
            return false;
        }
        request.probeRounds++;
        request.probedBackends =
                Arrays.copyOf(backends.order, Math.min(UtilizationEstimator.ASKED, part));
        for (int i : request.probedBackends) {
            if (backends.askedAt[i] == 0
                    && estimator.trust(i, now) <= FRESH
                    && mayTake(request, i, now)) {
                backends.askedAt[i] = now;
                decision.probes.add(i);
            }
        }
        request.probeWaitUntil = now + PATIENCE * estimator.window;
        return kept.add(request);
    }

    /**
     * Danger: a part of which none can take the exchange would shed what others in the fleet could
     * take.
     */
    boolean drawsOthers(Request request, double now) {
        // Danger: of the rest others tell nothing, so that the busiest there would look as idle as
        // can be.
        int part = part(now);
        int found = 0;
        int most = estimator.othersHeard && request.bestBackend >= 0 ? 0 : part;
        // Danger: where nobody may take anything, to look at thousands would hold up all other
        // answers.
        int end =
                (int)
                        Math.min(
                                backends.order.length,
                                part
                                        + (long) LOOKED_AT
                                                * Math.max(part, UtilizationEstimator.PART));
        for (int j = part; j < end && found < most && request.subsetRedraws == 0; j++) {
            backends.swap(j, j + (int) (random.next() * (backends.order.length - j)));
            if (mayTake(request, backends.order[j], now)) {
                backends.swap(found++, j);
            }
        }
        request.subsetRedraws++;
        request.probeRounds = 0;
        return found > 0;
    }

    /**
     * The wait to expect: at the least loaded backend, and as own forwards meet it where reports
     * are old.
     */
    double expectedWait(Request request, double now) {
        return request.bestBackend < 0
                ? Double.POSITIVE_INFINITY
                : estimator.old()
                        ? estimator.ownWait(request.bestBackend, now)
                        : Math.max(
                                estimator.known(request.bestBackend)
                                        ? 0
                                        : (1 - estimator.trust(request.bestBackend, now))
                                                * estimator.metWait.at(now),
                                estimator.wait(request.bestBackend, now));
    }

    /**
     * The least wait to expect in the part as it stands; infinite where none may take the exchange.
     */
    double leastWait(Request request, double now) {
        // Danger: who asks is behind, and probes whose answers it has not read yet make nobody
        // silent.
        return Arrays.stream(backends.order)
                .limit(part(now))
                .filter(i -> super.mayTake(request, i, now))
                .mapToDouble(i -> estimator.wait(i, now))
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    @Override
    void offer(Request request, double now, Decision decision) {
        request.latestAttempt =
                new Attempt(
                        request,
                        request.bestBackend,
                        now,
                        request.attemptDeadline - now,
                        Math.max(0, estimator.of(request.bestBackend, now) - 1));
        request.attemptCount++;
        request.attemptsInFlight++;
        request.probeRounds = request.subsetRedraws = 0;
        decision.attempts.add(request.latestAttempt);
        estimator.sent(request.bestBackend, 1, now);
        eligibility.spend(request.bestBackend, 1, now);
    }

    /**
     * Takes out an exchange whose asked have answered or that has waited long enough; null if none.
     */
    Request released(double now) {
        Request done =
                kept.stream()
                        .filter(
                                request ->
                                        request.completed
                                                || now >= request.probeWaitUntil
                                                || Arrays.stream(request.probedBackends)
                                                        .allMatch(i -> backends.askedAt[i] == 0))
                        .findFirst()
                        .orElse(null);
        kept.remove(done);
        return done;
    }

    double wakeAt() {
        return kept.isEmpty() ? Double.POSITIVE_INFINITY : kept.peek().probeWaitUntil;
    }
}
