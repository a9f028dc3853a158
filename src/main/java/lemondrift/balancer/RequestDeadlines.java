package lemondrift.balancer;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;

/** Rule 1: one final answer before expiry and nothing sent after it. */
final class RequestDeadlines extends DecisionStage {
    /** After so many tries of a grade, all with less time, the longest time was an odd one's. */
    private static final int ODD = 4;

    /** The time left of a usual first try, by grade, and how many in a row had less. */
    private double[] usual = {};

    private double[] since = {};

    private final BackendTable backends;
    private final PriorityQueue<Request> open =
            new PriorityQueue<>(Comparator.comparing(request -> request.deadline));

    RequestDeadlines(BackendTable backends) {
        this.backends = backends;
        stated(List.of());
    }

    void stated(List<Integer> fresh) {
        usual = Arrays.copyOf(usual, backends.stated.requestClasses().size());
        since = Arrays.copyOf(since, usual.length);
        fresh.forEach(grade -> usual[grade] = since[grade] = 0);
    }

    /**
     * Takes a new exchange; where a late answer brings nothing, its useful time is the contract
     * time.
     */
    void take(Request request, double now, Decision decision) {
        RequestClass requestClass = request.terms.requestClass();
        double useful =
                requestClass.latePriorityWeight() > 0
                        ? requestClass.timeoutSeconds()
                        : requestClass.latencyObjectiveSeconds();
        // Danger: work done after the first try's time is lost, so a retry has less by what has
        // passed.
        double left = request.deadline - now;
        boolean marked = backends.stated.clientsMarkRetries();
        // Clients may give a first try up sooner than the next, which then has more time left, not
        // less.
        boolean retry =
                marked
                        ? request.markedRetry
                                && Math.abs(left - usual[request.requestClass])
                                        > 0.01 * usual[request.requestClass]
                        : isRetry(request.requestClass, left);
        double age = retry ? Math.max(0, requestClass.timeoutSeconds() - left) : 0;
        usual[request.requestClass] =
                marked && !request.markedRetry ? left : usual[request.requestClass];
        request.attemptDeadline = Math.min(request.deadline, request.arrivedAt + useful - age);
        open.add(request);
        again(request, now, decision);
    }

    /**
     * Where clients do not mark their retries, a try with less time left than others is taken for
     * one.
     */
    private boolean isRetry(int requestClass, double left) {
        since[requestClass] = left < 0.99 * usual[requestClass] ? since[requestClass] + 1 : 0;
        usual[requestClass] =
                since[requestClass] > ODD ? left : Math.max(usual[requestClass], left);
        return left < 0.99 * usual[requestClass];
    }

    void again(Request request, double now, Decision decision) {
        if (!request.completed && now < request.attemptDeadline) {
            offer(request, now, decision);
        } else {
            request.failureReason = FailureReason.NO_TIME_LEFT;
            giveUp(request, 0, now, decision);
        }
    }

    @Override
    void ended(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        if (attempt.request.attemptsInFlight == 0) {
            again(attempt.request, now, decision);
        }
    }

    /**
     * Danger: a shed reply invites a retry, which would be a second effect if an earlier forward
     * ran.
     */
    @Override
    void giveUp(Request request, double comeBack, double now, Decision decision) {
        if (!request.completed) {
            request.completed = true;
            boolean shed = RetryPolicy.mayShed(request);
            double retryAfter = Math.min(comeBack, backends.stated.limits().maxRetryAfterSeconds());
            decision.localReplies.add(
                    new Decision.LocalReply(request, shed, shed ? retryAfter : 0));
            cancelAll(request, decision);
        }
    }

    void clientLeft(Request request, Decision decision) {
        request.completed = true;
        cancelAll(request, decision);
    }

    private void cancelAll(Request request, Decision decision) {
        for (Attempt attempt = request.latestAttempt;
                attempt != null && backends.stated.limits().canCancel() && !request.responseStarted;
                attempt = attempt.previous) {
            if (!attempt.ended) {
                decision.cancellations.add(attempt);
            }
        }
    }

    /** The safe alarm: whatever went wrong, what is still open at its expiry is answered. */
    void wake(double now, Decision decision) {
        while (wakeAt() <= now) {
            Request request = open.poll();
            if (!request.responseStarted) {
                request.failureReason = FailureReason.EXPIRED;
                giveUp(request, 0, now, decision);
            }
        }
    }

    double wakeAt() {
        while (!open.isEmpty() && open.peek().completed) {
            open.poll();
        }
        return open.isEmpty() ? Double.POSITIVE_INFINITY : open.peek().deadline;
    }
}
