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
 * The watching mode: a second module with other settings sees all that happens, is asked at each
 * decision what it would do, and follows what was done. It counts by kind where it would have
 * decided otherwise. Nothing of it is carried out; its chance, probes and budgets are its own, so
 * that the deciding module never notices it.
 */
public final class ShadowEvaluator {
    /** What it would have done in place of what was done. */
    public enum Kind {
        ANOTHER_BACKEND,
        CROSS,
        NOT_CROSS,
        SHED,
        NOT_SHED,
        SEND_AGAIN,
        NOT_SEND_AGAIN
    }

    private static final int NONE = -1;

    /**
     * An exchange as the second module knows it, and the forward that stands for the one that is
     * out.
     */
    private static final class Copy {
        final Request exchange;
        Attempt followed;

        Copy(Request request) {
            exchange =
                    new Request(
                            request.id,
                            request.requestClass,
                            request.tenant,
                            request.arrivedAt,
                            request.deadline - request.arrivedAt,
                            request.markedRetry);
        }
    }

    private final LoadBalancer balancer;
    private final int here;
    private Settings settings;
    private final Map<Request, Copy> copies = new HashMap<>();
    private final long[] counts = new long[Kind.values().length];
    private final Map<Integer, Integer> locations = new HashMap<>();
    private long decisions;
    private double wakeAt = Double.POSITIVE_INFINITY;

    public ShadowEvaluator(Settings settings, long seed) {
        balancer = new LoadBalancer(settings, seed);
        here = settings.location();
        this.settings = settings;
    }

    /** The program's own were stated anew, and with them these. */
    public void settingsChanged(Settings other, List<Integer> fresh) {
        settings = settings.reloaded(other, other.requestClasses());
        balancer.settingsChanged(settings, fresh);
    }

    public void endpointsListed(
            double now, boolean whole, boolean stale, List<EndpointUpdate> updates) {
        updates.forEach(update -> locations.put(update.backend(), update.location()));
        settle(now, balancer.endpointsListed(now, whole, stale, updates));
    }

    public void requestArrived(double now, Request request) {
        if (settings.requestClasses().get(request.requestClass) == null) {
            return;
        }
        Copy copy = new Copy(request);
        copies.put(request, copy);
        settle(now, balancer.requestArrived(now, copy.exchange));
    }

    /** Compares with what the deciding module has done, and follows that. */
    public void decided(double now, Decision decision) {
        for (Attempt attempt : decision.attempts) {
            Copy copy = copies.get(attempt.request);
            if (copy != null) {
                Attempt own = own(copy);
                compare(own == null ? NONE : own.backend, attempt.backend, attempt.index > 0);
                follow(now, copy, own, attempt);
            }
        }
        for (Decision.LocalReply a : decision.localReplies) {
            Copy copy = copies.get(a.request());
            if (copy != null && copy.followed == null) {
                Attempt own = own(copy);
                compare(own == null ? NONE : own.backend, NONE, a.request().attemptCount > 0);
            }
            clientLeft(now, a.request());
        }
    }

    public void attemptEnded(
            double now,
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            boolean over,
            double[] loadReport) {
        Copy copy = copies.get(attempt.request);
        if (copy == null || copy.followed == null) {
            return;
        }
        Attempt followed = copy.followed;
        copy.followed = null;
        settle(
                now,
                balancer.attemptEnded(now, followed, outcome, durationSeconds, over, loadReport));
        if (over) {
            copies.remove(attempt.request);
        }
    }

    public void probeEnded(double now, int backend, AttemptOutcome outcome, double[] loadReport) {
        settle(now, balancer.probeEnded(now, backend, outcome, loadReport));
    }

    /**
     * The exchange is over. Danger: a forward that is still out counts there until its end is told.
     */
    public void clientLeft(double now, Request request) {
        Copy copy = copies.get(request);
        if (copy == null) {
            return;
        }
        Attempt own = own(copy);
        settle(now, balancer.clientLeft(now, copy.exchange));
        if (own != null) {
            takeBack(now, copy.exchange, own);
        }
        if (copy.followed == null) {
            copies.remove(request);
        }
    }

    public void wake(double now) {
        if (wakeAt <= now) {
            settle(now, balancer.wake(now));
        }
    }

    public double wakeAt() {
        return wakeAt;
    }

    public long decisions() {
        return decisions;
    }

    public long count(Kind kind) {
        return counts[kind.ordinal()];
    }

    /**
     * One line: how many decisions were compared, and those that would have been others, by kind.
     */
    public String summary() {
        StringBuilder text = new StringBuilder("decisions " + decisions);
        for (Kind kind : Kind.values()) {
            text.append(", would ")
                    .append(kind.name().toLowerCase(Locale.ROOT).replace('_', ' '))
                    .append(' ')
                    .append(count(kind));
        }
        return text.toString();
    }

    /** Its own choice that is not carried out yet; null where it would give up. */
    private static Attempt own(Copy copy) {
        Attempt latest = copy.exchange.latestAttempt;
        return latest == null || latest.ended || latest == copy.followed ? null : latest;
    }

    private void compare(int own, int done, boolean again) {
        decisions++;
        if (own == NONE && done != NONE) {
            counted(again ? Kind.NOT_SEND_AGAIN : Kind.SHED);
        } else if (own != NONE && done == NONE) {
            counted(again ? Kind.SEND_AGAIN : Kind.NOT_SHED);
        } else if (own != done) {
            counted(Kind.ANOTHER_BACKEND);
            boolean crosses = locations.getOrDefault(own, here) != here;
            if (crosses != (locations.getOrDefault(done, here) != here)) {
                counted(crosses ? Kind.CROSS : Kind.NOT_CROSS);
            }
        }
    }

    private void counted(Kind kind) {
        counts[kind.ordinal()]++;
    }

    /** Puts the forward that was made in the place of its own choice, if there is one. */
    private void follow(double now, Copy copy, Attempt own, Attempt done) {
        Request request = copy.exchange;
        if (own != null && own.backend == done.backend) {
            copy.followed = own;
            return;
        }
        if (own != null) {
            takeBack(now, request, own);
        }
        request.completed = false;
        copy.followed =
                new Attempt(
                        request, done.backend, done.sentAt, done.timeoutSeconds, done.queueAhead);
        request.latestAttempt = copy.followed;
        request.attemptCount++;
        request.attemptsInFlight++;
        balancer.adjustAttempts(now, done.backend, 1);
    }

    private void takeBack(double now, Request request, Attempt own) {
        own.ended = true;
        request.latestAttempt = own.previous;
        request.attemptCount--;
        request.attemptsInFlight--;
        balancer.adjustAttempts(now, own.backend, -1);
    }

    /**
     * Danger: probes are not sent for it, and one that nobody answers would make its backend look
     * silent.
     */
    private void settle(double now, Decision decision) {
        Deque<Integer> asked = new ArrayDeque<>(decision.probes);
        while (!asked.isEmpty()) {
            asked.addAll(
                    balancer.probeEnded(now, asked.poll(), AttemptOutcome.NOT_SENT, null).probes);
        }
        wakeAt = decision.wakeAt;
    }
}
