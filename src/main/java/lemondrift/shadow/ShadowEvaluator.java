package lemondrift.shadow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;
import lemondrift.model.Settings;

/**
 * Evaluates other settings with a second balancer, whose decisions are not carried out. The second
 * balancer receives all events, is asked at each decision what it would do, and then follows the
 * decision that was made. Decisions that differ are counted by kind. Its randomness, probes and
 * budgets are its own, so that it does not affect the balancer in force.
 */
public final class ShadowEvaluator {
    /** What the shadow would have done instead. */
    public enum Kind {
        /** It would have sent the request to another backend. */
        ANOTHER_BACKEND,
        /** It would have sent the request to a backend in another zone. */
        CROSS,
        /** It would have sent the request to a backend in this zone. */
        NOT_CROSS,
        /** It would have rejected or failed the request instead of making the first attempt. */
        SHED,
        /** It would have made the first attempt. */
        NOT_SHED,
        /** It would have retried the request. */
        SEND_AGAIN,
        /** It would not have retried the request. */
        NOT_SEND_AGAIN
    }

    /** Stands for no backend: no attempt was made. */
    private static final int NO_ATTEMPT = -1;

    /** The shadow's copy of a request. */
    private static final class ShadowRequest {
        final Request request;

        /** The shadow's copy of the attempt in flight; null if there is none. */
        Attempt actualAttempt;

        ShadowRequest(Request request) {
            this.request =
                    new Request(
                            request.id,
                            request.requestClassIndex,
                            request.tenant,
                            request.arrivedAt,
                            request.deadline - request.arrivedAt,
                            request.markedRetry);
        }
    }

    private final LoadBalancer balancer;
    private final int ownLocation;
    private Settings settings;

    /** By actual request: the shadow's copy. */
    private final Map<Request, ShadowRequest> shadowRequests = new HashMap<>();

    /** By ordinal of the kind: the number of decisions that differ. */
    private final long[] counts = new long[Kind.values().length];

    /** By backend: its zone. */
    private final Map<Integer, Integer> locations = new HashMap<>();

    private long decisionCount;
    private double wakeAt = Double.POSITIVE_INFINITY;

    /**
     * Creates an evaluator with a balancer of its own.
     *
     * @param settings the settings to evaluate
     * @param seed the seed of all randomness
     */
    public ShadowEvaluator(Settings settings, long seed) {
        balancer = new LoadBalancer(settings, seed);
        ownLocation = settings.location();
        this.settings = settings;
    }

    /**
     * Changes the settings to evaluate after a reload.
     *
     * @param reassigned the indexes that now stand for another request class than before
     */
    public void settingsChanged(Settings newSettings, List<Integer> reassigned) {
        settings = settings.reloaded(newSettings, newSettings.requestClasses());
        balancer.settingsChanged(settings, reassigned);
    }

    /** Handles an endpoint list, see {@link LoadBalancer#endpointListCompleted}. */
    public void endpointsListed(
            double now, boolean full, boolean stale, List<EndpointUpdate> updates) {
        updates.forEach(update -> locations.put(update.backend(), update.location()));
        finishDecision(now, balancer.endpointListCompleted(now, full, stale, updates));
    }

    /**
     * Handles a new request. Ignores a request of a class that the settings to evaluate do not
     * name.
     */
    public void requestArrived(double now, Request request) {
        if (settings.requestClasses().get(request.requestClassIndex) == null) {
            return;
        }
        ShadowRequest copy = new ShadowRequest(request);
        shadowRequests.put(request, copy);
        finishDecision(now, balancer.requestArrived(now, copy.request));
    }

    /** Compares a decision of the balancer in force with the shadow's own, and then follows it. */
    public void decisionMade(double now, Decision decision) {
        for (Attempt attempt : decision.attempts) {
            ShadowRequest copy = shadowRequests.get(attempt.request);
            if (copy != null) {
                Attempt own = pendingAttempt(copy);
                compare(own == null ? NO_ATTEMPT : own.backend, attempt.backend, attempt.index > 0);
                adoptAttempt(now, copy, own, attempt);
            }
        }
        for (Decision.LocalReply reply : decision.localReplies) {
            ShadowRequest copy = shadowRequests.get(reply.request());
            if (copy != null && copy.actualAttempt == null) {
                Attempt own = pendingAttempt(copy);
                compare(
                        own == null ? NO_ATTEMPT : own.backend,
                        NO_ATTEMPT,
                        reply.request().attemptCount > 0);
            }
            requestAbandoned(now, reply.request());
        }
    }

    /** Handles the end of an attempt, see {@link LoadBalancer#attemptEnded}. */
    public void attemptEnded(
            double now,
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            boolean completed,
            double[] loadReport) {
        ShadowRequest copy = shadowRequests.get(attempt.request);
        if (copy == null || copy.actualAttempt == null) {
            return;
        }
        Attempt actual = copy.actualAttempt;
        copy.actualAttempt = null;
        finishDecision(
                now,
                balancer.attemptEnded(
                        now, actual, outcome, durationSeconds, completed, loadReport));
        if (completed) {
            shadowRequests.remove(attempt.request);
        }
    }

    /** Handles the end of a probe, see {@link LoadBalancer#probeEnded}. */
    public void probeEnded(double now, int backend, AttemptOutcome outcome, double[] loadReport) {
        finishDecision(now, balancer.probeEnded(now, backend, outcome, loadReport));
    }

    /**
     * Handles the end of a request. Its copy is kept while an attempt is in flight, because the
     * attempt counts until it ends.
     */
    public void requestAbandoned(double now, Request request) {
        ShadowRequest copy = shadowRequests.get(request);
        if (copy == null) {
            return;
        }
        Attempt own = pendingAttempt(copy);
        finishDecision(now, balancer.requestAbandoned(now, copy.request));
        if (own != null) {
            undoAttempt(now, copy.request, own);
        }
        if (copy.actualAttempt == null) {
            shadowRequests.remove(request);
        }
    }

    /** Wakes the shadow if it is due. */
    public void wake(double now) {
        if (wakeAt <= now) {
            finishDecision(now, balancer.wake(now));
        }
    }

    /** Returns when {@link #wake} must be called, in seconds; infinite if it need not be called. */
    public double wakeAt() {
        return wakeAt;
    }

    /** Returns the number of decisions that were compared. */
    public long decisionCount() {
        return decisionCount;
    }

    /** Returns the number of compared decisions that would have differed in the given way. */
    public long count(Kind kind) {
        return counts[kind.ordinal()];
    }

    /**
     * Returns one line with the number of compared decisions and the numbers of differing ones by
     * kind.
     */
    public String summary() {
        StringBuilder text = new StringBuilder("decisions " + decisionCount);
        for (Kind kind : Kind.values()) {
            text.append(", would ")
                    .append(kind.name().toLowerCase(Locale.ROOT).replace('_', ' '))
                    .append(' ')
                    .append(count(kind));
        }
        return text.toString();
    }

    /** Returns the shadow's own attempt that is not in flight; null if it would make none. */
    private static Attempt pendingAttempt(ShadowRequest copy) {
        Attempt latest = copy.request.latestAttempt;
        return latest == null || latest.ended || latest == copy.actualAttempt ? null : latest;
    }

    /**
     * Compares the backend that the shadow chose with the one that the request was sent to. Either
     * may be {@link #NO_ATTEMPT}.
     */
    private void compare(int own, int actual, boolean retry) {
        decisionCount++;
        if (own == NO_ATTEMPT && actual != NO_ATTEMPT) {
            increment(retry ? Kind.NOT_SEND_AGAIN : Kind.SHED);
        } else if (own != NO_ATTEMPT && actual == NO_ATTEMPT) {
            increment(retry ? Kind.SEND_AGAIN : Kind.NOT_SHED);
        } else if (own != actual) {
            increment(Kind.ANOTHER_BACKEND);
            boolean crosses = locations.getOrDefault(own, ownLocation) != ownLocation;
            if (crosses != (locations.getOrDefault(actual, ownLocation) != ownLocation)) {
                increment(crosses ? Kind.CROSS : Kind.NOT_CROSS);
            }
        }
    }

    private void increment(Kind kind) {
        counts[kind.ordinal()]++;
    }

    /** Replaces the shadow's own attempt, if there is one, with the attempt that was made. */
    private void adoptAttempt(double now, ShadowRequest copy, Attempt own, Attempt actual) {
        Request request = copy.request;
        if (own != null && own.backend == actual.backend) {
            copy.actualAttempt = own;
            return;
        }
        if (own != null) {
            undoAttempt(now, request, own);
        }
        request.completed = false;
        copy.actualAttempt =
                new Attempt(
                        request,
                        actual.backend,
                        actual.sentAt,
                        actual.timeoutSeconds,
                        actual.queueAhead);
        request.latestAttempt = copy.actualAttempt;
        request.attemptCount++;
        request.attemptsInFlight++;
        balancer.adjustAttempts(now, actual.backend, 1);
    }

    /** Undoes an attempt of the shadow that was not made. */
    private void undoAttempt(double now, Request request, Attempt own) {
        own.ended = true;
        request.latestAttempt = own.previous;
        request.attemptCount--;
        request.attemptsInFlight--;
        balancer.adjustAttempts(now, own.backend, -1);
    }

    /**
     * Ends the probes that the shadow asks for, because none of them is sent, and sets the next
     * wake-up time. Guards against the shadow leaving out backends because they answer no probe.
     */
    private void finishDecision(double now, Decision decision) {
        Deque<Integer> probes = new ArrayDeque<>(decision.probes);
        while (!probes.isEmpty()) {
            probes.addAll(
                    balancer.probeEnded(now, probes.poll(), AttemptOutcome.NOT_SENT, null).probes);
        }
        wakeAt = decision.wakeAt;
    }
}
