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
 * A second balancer with other settings that sees all events, is asked at each decision what it
 * would do, and then follows what was done. It counts by kind where it would have decided
 * otherwise. Nothing of it is carried out; its randomness, probes and budgets are its own, so that
 * the balancer in force never notices it.
 */
public final class ShadowEvaluator {
    /** What it would have done in place of what was done. */
    public enum Kind {
        /** Sent to another backend. */
        ANOTHER_BACKEND,
        /** Sent to a backend in another zone. */
        CROSS,
        /** Sent to one in this zone. */
        NOT_CROSS,
        /** Rejected or failed in place of the first attempt. */
        SHED,
        /** Made the first attempt. */
        NOT_SHED,
        /** Retried. */
        SEND_AGAIN,
        /** Not retried. */
        NOT_SEND_AGAIN
    }

    /** In place of a backend: no attempt was made. */
    private static final int NO_ATTEMPT = -1;

    /** A request as the shadow knows it. */
    private static final class ShadowRequest {
        final Request request;

        /** What stands for the attempt that is in flight; null where none is. */
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

    /** By the request in force. */
    private final Map<Request, ShadowRequest> shadowRequests = new HashMap<>();

    /** By the ordinal of the kind. */
    private final long[] counts = new long[Kind.values().length];

    /** By backend: its zone. */
    private final Map<Integer, Integer> locations = new HashMap<>();

    private long decisionCount;
    private double wakeAt = Double.POSITIVE_INFINITY;

    /**
     * @param settings those to evaluate
     * @param seed of all randomness
     */
    public ShadowEvaluator(Settings settings, long seed) {
        balancer = new LoadBalancer(settings, seed);
        ownLocation = settings.location();
        this.settings = settings;
    }

    /**
     * Other settings are to be evaluated, after a reload.
     *
     * @param reassigned the indexes at which another request class stands than before
     */
    public void settingsChanged(Settings newSettings, List<Integer> reassigned) {
        settings = settings.reloaded(newSettings, newSettings.requestClasses());
        balancer.settingsChanged(settings, reassigned);
    }

    /** See {@link LoadBalancer#endpointsListed}. */
    public void endpointsListed(
            double now, boolean full, boolean stale, List<EndpointUpdate> updates) {
        updates.forEach(update -> locations.put(update.backend(), update.location()));
        finishDecision(now, balancer.endpointsListed(now, full, stale, updates));
    }

    /** A request has come; one of a class that these settings do not name is left out. */
    public void requestArrived(double now, Request request) {
        if (settings.requestClasses().get(request.requestClassIndex) == null) {
            return;
        }
        ShadowRequest copy = new ShadowRequest(request);
        shadowRequests.put(request, copy);
        finishDecision(now, balancer.requestArrived(now, copy.request));
    }

    /** Compares with what the balancer in force has decided, and follows that. */
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

    /** See {@link LoadBalancer#attemptEnded}. */
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
        Attempt followed = copy.actualAttempt;
        copy.actualAttempt = null;
        finishDecision(
                now,
                balancer.attemptEnded(
                        now, followed, outcome, durationSeconds, completed, loadReport));
        if (completed) {
            shadowRequests.remove(attempt.request);
        }
    }

    /** See {@link LoadBalancer#probeEnded}. */
    public void probeEnded(double now, int backend, AttemptOutcome outcome, double[] loadReport) {
        finishDecision(now, balancer.probeEnded(now, backend, outcome, loadReport));
    }

    /**
     * The request is over. Its copy stays while an attempt is in flight, which counts until it
     * ends.
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

    /** Wakes the shadow where its time has come. */
    public void wake(double now) {
        if (wakeAt <= now) {
            finishDecision(now, balancer.wake(now));
        }
    }

    /** When {@link #wake} is to be called; infinite where it need not. */
    public double wakeAt() {
        return wakeAt;
    }

    /** How many decisions were compared. */
    public long decisionCount() {
        return decisionCount;
    }

    /** How many of them would have been of a kind. */
    public long count(Kind kind) {
        return counts[kind.ordinal()];
    }

    /**
     * One line: how many decisions were compared, and those that would have been others, by kind.
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

    /** The shadow's own attempt that is not in flight; null where it would make none. */
    private static Attempt pendingAttempt(ShadowRequest copy) {
        Attempt latest = copy.request.latestAttempt;
        return latest == null || latest.ended || latest == copy.actualAttempt ? null : latest;
    }

    /** Compares the shadow's backend with the one sent to, either of which may be none. */
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

    /** Puts the attempt that was made in the place of the shadow's own, if there is one. */
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

    /** Undoes an attempt of the shadow's own that was not made. */
    private void undoAttempt(double now, Request request, Attempt own) {
        own.ended = true;
        request.latestAttempt = own.previous;
        request.attemptCount--;
        request.attemptsInFlight--;
        balancer.adjustAttempts(now, own.backend, -1);
    }

    /**
     * Ends the probes that the shadow asks for, since none is sent for it. Guards against backends
     * that it would leave out as not answering.
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
