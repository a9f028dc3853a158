package lemondrift.lab;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import lemondrift.lab.simulation.RoutingPolicy;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Policies to compare the module with, and nothing else: they pick, send again what is proved never
 * to have run, and keep rules one to three. They judge no health and spare no cold backend.
 */
public final class Baseline implements RoutingPolicy {
    /** How a baseline picks among the backends that are listed as ready. */
    public enum Kind {
        /** Any, each as likely. */
        RANDOM,
        /** One after another. */
        ROUND_ROBIN,
        /** The one with the fewest of this proxy's own attempts out. */
        LEAST_OUTSTANDING,
        /** The one of two at random with the fewest out. */
        TWO_CHOICES,
        /**
         * The least peak of fading answer times, by one more than the attempts out (Finagle's Peak
         * EWMA).
         */
        PEAK_EWMA,
        /** The one with the least true load, which no proxy can see. */
        ORACLE
    }

    /**
     * Seconds over which a peak of answer times fades, and the attempts that a request may have.
     */
    private static final double FADES = 5;

    private static final int MOST = 3;

    private final Kind kind;
    private final Settings settings;
    private final UniformRandomProvider random;
    private final IntToDoubleFunction trueLoad;
    private final Decision decision = new Decision();
    private boolean[] ready = {};
    private int[] out = {};
    private double[] peak = {};
    private double[] peakAt = {};
    private int last;

    /** The true load of a backend is asked for by the oracle alone. */
    public Baseline(Kind kind, Settings settings, long seed, IntToDoubleFunction trueLoad) {
        this.kind = kind;
        this.settings = settings;
        this.trueLoad = trueLoad;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    private Decision nothing() {
        decision.clear();
        return decision;
    }

    @Override
    public Decision requestArrived(double now, Request request) {
        nothing();
        request.attemptDeadline =
                Math.min(
                        request.deadline,
                        now
                                + settings.requestClasses()
                                        .get(request.requestClassIndex)
                                        .latencyObjectiveSeconds());
        sends(now, request);
        return decision;
    }

    private void sends(double now, Request request) {
        int to = now < request.attemptDeadline && request.attemptCount < MOST ? pick(now) : -1;
        if (to < 0) {
            boolean shed =
                    request.possiblyExecuted == null
                            || settings.requestClasses()
                                            .get(request.requestClassIndex)
                                            .idempotency()
                                    == Idempotency.IDEMPOTENT;
            request.completed = true;
            decision.localReplies.add(new Decision.LocalReply(request, shed, 0));
            return;
        }
        request.latestAttempt = new Attempt(request, to, now, request.attemptDeadline - now, 0);
        request.attemptCount++;
        request.attemptsInFlight++;
        out[to]++;
        decision.attempts.add(request.latestAttempt);
    }

    private int pick(double now) {
        int[] all = IntStream.range(0, ready.length).filter(i -> ready[i]).toArray();
        if (all.length == 0) {
            return -1;
        }
        int any = all[random.nextInt(all.length)];
        return switch (kind) {
            case RANDOM -> any;
            case ROUND_ROBIN -> all[last++ % all.length];
            case LEAST_OUTSTANDING -> least(all, any, i -> out[i]);
            case TWO_CHOICES -> {
                int other = all[random.nextInt(all.length)];
                yield out[other] < out[any] ? other : any;
            }
            case PEAK_EWMA ->
                    least(
                            all,
                            any,
                            i -> (out[i] + 1) * peak[i] * Math.exp((peakAt[i] - now) / FADES));
            case ORACLE -> least(all, any, trueLoad);
        };
    }

    /** The least of all by a figure, a random one where it is no worse than any. */
    private static int least(int[] all, int any, IntToDoubleFunction figure) {
        int best = any;
        double least = figure.applyAsDouble(any);
        for (int i : all) {
            double its = figure.applyAsDouble(i);
            if (its < least) {
                least = its;
                best = i;
            }
        }
        return best;
    }

    @Override
    public Decision attemptEnded(
            double now,
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            boolean over,
            double[] loadReport) {
        nothing();
        Request request = attempt.request;
        attempt.ended = true;
        request.attemptsInFlight--;
        out[attempt.backend]--;
        request.completed |= over;
        double faded = peak[attempt.backend] * Math.exp((peakAt[attempt.backend] - now) / FADES);
        peak[attempt.backend] = Math.max(durationSeconds, faded + (durationSeconds - faded) / 8);
        peakAt[attempt.backend] = now;
        request.possiblyExecuted =
                !outcome.neverExecuted && request.possiblyExecuted == null
                        ? attempt
                        : request.possiblyExecuted;
        if (!request.completed
                && (outcome.neverExecuted
                        || settings.requestClasses().get(request.requestClassIndex).idempotency()
                                == Idempotency.IDEMPOTENT)) {
            sends(now, request);
        } else if (!request.completed) {
            request.completed = true;
            decision.localReplies.add(new Decision.LocalReply(request, false, 0));
        }
        return decision;
    }

    @Override
    public Decision probeEnded(
            double now, int backend, AttemptOutcome outcome, double[] loadReport) {
        return nothing();
    }

    @Override
    public Decision clientLeft(double now, Request request) {
        request.completed = true;
        return nothing();
    }

    @Override
    public Decision endpointsListed(double now, boolean whole, List<EndpointUpdate> updates) {
        int size =
                Math.max(
                        ready.length,
                        updates.stream().mapToInt(EndpointUpdate::backend).max().orElse(-1) + 1);
        ready = Arrays.copyOf(ready, size);
        out = Arrays.copyOf(out, size);
        peak = Arrays.copyOf(peak, size);
        peakAt = Arrays.copyOf(peakAt, size);
        updates.forEach(
                update -> ready[update.backend()] = update.state() == EndpointUpdate.State.READY);
        return nothing();
    }

    @Override
    public Decision wake(double now) {
        return nothing();
    }
}
