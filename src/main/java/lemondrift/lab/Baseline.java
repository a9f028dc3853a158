package lemondrift.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import lemondrift.lab.simulation.RoutingPolicy;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simple policies with which the module is compared. They select a backend, retry requests that
 * were provably never executed, and keep the first three rules. They do not assess the health of
 * backends and do not protect cold backends.
 */
public final class Baseline implements RoutingPolicy {
    /** How a baseline selects among the backends that are listed as ready. */
    public enum Kind {
        /** A backend drawn at random, with equal probabilities. */
        RANDOM,
        /** Each backend in turn. */
        ROUND_ROBIN,
        /** The backend with the fewest attempts of this proxy in flight. */
        LEAST_OUTSTANDING,
        /** Of two backends drawn at random, the one with fewer attempts of this proxy in flight. */
        TWO_CHOICES,
        /**
         * The backend with the smallest product of a peak-sensitive moving average of response
         * times and one more than the attempts in flight (Finagle's Peak EWMA).
         */
        PEAK_EWMA,
        /** The backend with the lowest true load, which a real proxy cannot know. */
        ORACLE
    }

    /** The time constant of the decay of a peak of response times, in seconds. */
    private static final double PEAK_DECAY_SECONDS = 5;

    /**
     * A response time below the decayed peak lowers the peak by their difference divided by this.
     */
    private static final double PEAK_DIVISOR = 8;

    /** The maximum number of attempts of a request. */
    private static final int MAX_ATTEMPTS = 3;

    /** The state of one backend as one proxy knows it. */
    private static final class BackendState {
        boolean ready;
        int attemptsInFlight;

        /** The peak of the response times in seconds, as of {@link #peakAt}. */
        double peakSeconds;

        double peakAt;

        double peakDecay(double now) {
            return Math.exp((peakAt - now) / PEAK_DECAY_SECONDS);
        }

        void recordResponseTime(double durationSeconds, double now) {
            double decayed = peakSeconds * peakDecay(now);
            peakSeconds =
                    Math.max(durationSeconds, decayed + (durationSeconds - decayed) / PEAK_DIVISOR);
            peakAt = now;
        }
    }

    private final Kind kind;
    private final Settings settings;
    private final UniformRandomProvider random;
    private final IntToDoubleFunction trueLoad;
    private final Decision decision = new Decision();
    private final List<BackendState> backends = new ArrayList<>();
    private int roundRobinPosition;

    /**
     * Creates the baseline of one proxy.
     *
     * @param trueLoad returns the true load of a backend by its index; used only by {@link
     *     Kind#ORACLE}
     */
    public Baseline(Kind kind, Settings settings, long seed, IntToDoubleFunction trueLoad) {
        this.kind = kind;
        this.settings = settings;
        this.trueLoad = trueLoad;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    private Decision emptyDecision() {
        decision.clear();
        return decision;
    }

    private RequestClass requestClassOf(Request request) {
        return settings.requestClasses().get(request.requestClassIndex);
    }

    private boolean isIdempotent(Request request) {
        return requestClassOf(request).idempotency() == Idempotency.IDEMPOTENT;
    }

    @Override
    public Decision requestArrived(double now, Request request) {
        emptyDecision();
        double objectiveAt = now + requestClassOf(request).latencyObjectiveSeconds();
        request.attemptDeadline = Math.min(request.deadline, objectiveAt);
        sendOrReply(now, request);
        return decision;
    }

    /** Sends another attempt, or a local reply if no attempt is possible. */
    private void sendOrReply(double now, Request request) {
        boolean mayAttempt = now < request.attemptDeadline && request.attemptCount < MAX_ATTEMPTS;
        OptionalInt picked = mayAttempt ? selectBackend(now) : OptionalInt.empty();
        if (picked.isPresent()) {
            send(now, request, picked.getAsInt());
        } else {
            reply(request, request.possiblyExecuted == null || isIdempotent(request));
        }
    }

    private void send(double now, Request request, int backend) {
        request.latestAttempt =
                new Attempt(request, backend, now, request.attemptDeadline - now, 0);
        request.attemptCount++;
        request.attemptsInFlight++;
        backends.get(backend).attemptsInFlight++;
        decision.attempts.add(request.latestAttempt);
    }

    private void reply(Request request, boolean rejected) {
        request.completed = true;
        decision.localReplies.add(new Decision.LocalReply(request, rejected, 0));
    }

    /** Selects the backend for an attempt; returns empty if no backend is ready. */
    private OptionalInt selectBackend(double now) {
        int[] ready =
                IntStream.range(0, backends.size()).filter(i -> backends.get(i).ready).toArray();
        if (ready.length == 0) {
            return OptionalInt.empty();
        }
        // Drawn for every kind, even if unused: the random draws of a seed must not change.
        int drawn = ready[random.nextInt(ready.length)];
        return OptionalInt.of(
                switch (kind) {
                    case RANDOM -> drawn;
                    case ROUND_ROBIN -> ready[roundRobinPosition++ % ready.length];
                    case LEAST_OUTSTANDING -> selectLeastCost(ready, drawn, this::attemptsInFlight);
                    case TWO_CHOICES -> fewerInFlight(drawn, ready[random.nextInt(ready.length)]);
                    case PEAK_EWMA ->
                            selectLeastCost(ready, drawn, backend -> peakCost(backend, now));
                    case ORACLE -> selectLeastCost(ready, drawn, trueLoad);
                });
    }

    private int attemptsInFlight(int backend) {
        return backends.get(backend).attemptsInFlight;
    }

    private int fewerInFlight(int first, int second) {
        return attemptsInFlight(second) < attemptsInFlight(first) ? second : first;
    }

    private double peakCost(int backend, double now) {
        BackendState state = backends.get(backend);
        return (state.attemptsInFlight + 1) * state.peakSeconds * state.peakDecay(now);
    }

    /** Returns the backend with the lowest cost; the preferred one if no other costs less. */
    private static int selectLeastCost(int[] backends, int preferred, IntToDoubleFunction cost) {
        int best = preferred;
        double leastCost = cost.applyAsDouble(preferred);
        for (int backend : backends) {
            double candidateCost = cost.applyAsDouble(backend);
            if (candidateCost < leastCost) {
                leastCost = candidateCost;
                best = backend;
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
            boolean completed,
            double[] loadReport) {
        emptyDecision();
        Request request = attempt.request;
        attempt.ended = true;
        request.attemptsInFlight--;
        request.completed |= completed;
        BackendState backend = backends.get(attempt.backend);
        backend.attemptsInFlight--;
        backend.recordResponseTime(durationSeconds, now);
        if (!outcome.neverExecuted && request.possiblyExecuted == null) {
            request.possiblyExecuted = attempt;
        }
        if (request.completed) {
            return decision;
        }
        if (outcome.neverExecuted || isIdempotent(request)) {
            sendOrReply(now, request);
        } else {
            reply(request, false);
        }
        return decision;
    }

    @Override
    public Decision probeEnded(
            double now, int backend, AttemptOutcome outcome, double[] loadReport) {
        return emptyDecision();
    }

    @Override
    public Decision endpointsListed(double now, boolean isFullList, List<EndpointUpdate> updates) {
        for (EndpointUpdate update : updates) {
            while (backends.size() <= update.backend()) {
                backends.add(new BackendState());
            }
            backends.get(update.backend()).ready = update.state() == EndpointUpdate.State.READY;
        }
        return emptyDecision();
    }

    @Override
    public Decision wake(double now) {
        return emptyDecision();
    }
}
