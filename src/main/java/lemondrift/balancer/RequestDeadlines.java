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

/**
 * Rule 1: each request gets one final answer, no later than its deadline, and no attempt is made
 * after its attempt deadline.
 *
 * <p>The deadline is when the client stops waiting. The attempt deadline is the arrival time plus
 * the latency objective of the request class, or plus its timeout if a late response still has a
 * value, minus the time that earlier tries of the client have used. It is never later than the
 * deadline. All times are in seconds.
 *
 * <p>After each attempt that did not answer it, a request passes through the chain again. This
 * stage ends a request with NO_TIME_LEFT if its attempt deadline has passed, and with EXPIRED if it
 * is still open at its deadline and no response has started.
 */
final class RequestDeadlines extends DecisionStage {
    /**
     * After more than this many consecutive tries with less time, the longest time seen no longer
     * counts.
     */
    private static final int MAX_CONSECUTIVE_SHORTER = 4;

    /**
     * The time left must differ from the usual by more than this share of it to show that a try is
     * a retry.
     */
    private static final double TIME_LEFT_TOLERANCE = 0.01;

    private final BackendTable backends;

    /** By request class: the time that a first try has left on arrival, in seconds. */
    private double[] usualSecondsLeft = {};

    /**
     * By request class: the number of consecutive tries that had less time left than {@link
     * #usualSecondsLeft}.
     */
    private int[] consecutiveShorter = {};

    /** The requests that may be open, the one with the earliest deadline first. */
    private final PriorityQueue<Request> openRequests =
            new PriorityQueue<>(Comparator.comparing(request -> request.deadline));

    RequestDeadlines(BackendTable backends) {
        this.backends = backends;
        settingsChanged(List.of());
    }

    /**
     * Handles a change of the request classes. Discards the state of the classes at reassigned
     * indexes.
     */
    void settingsChanged(List<Integer> reassigned) {
        usualSecondsLeft =
                Arrays.copyOf(usualSecondsLeft, backends.settings.requestClasses().size());
        consecutiveShorter = Arrays.copyOf(consecutiveShorter, usualSecondsLeft.length);
        for (int requestClass : reassigned) {
            usualSecondsLeft[requestClass] = 0;
            consecutiveShorter[requestClass] = 0;
        }
    }

    /** Sets the attempt deadline of a new request and sends it through the chain. */
    void requestArrived(Request request, double now, Decision decision) {
        RequestClass requestClass = request.terms.requestClass();
        double usefulSeconds =
                requestClass.latePriorityWeight() > 0
                        ? requestClass.timeoutSeconds()
                        : requestClass.latencyObjectiveSeconds();
        // Guards against work after the end of the first try's time, when a response has no value
        // any more.
        double secondsLeft = request.deadline - now;
        double secondsUsed =
                isClientRetry(request, secondsLeft)
                        ? Math.max(0, requestClass.timeoutSeconds() - secondsLeft)
                        : 0;
        request.attemptDeadline =
                Math.min(request.deadline, request.arrivedAt + usefulSeconds - secondsUsed);
        openRequests.add(request);
        offerAgain(request, now, decision);
    }

    private boolean isClientRetry(Request request, double secondsLeft) {
        return backends.settings.clientsMarkRetries()
                ? isMarkedRetry(request, secondsLeft)
                : looksLikeRetry(request.requestClassIndex, secondsLeft);
    }

    /**
     * Returns whether a request is marked as a retry and its time left shows that it shares the
     * time of its first try. Clients may stop waiting for a first try earlier than for the retry,
     * which then has a time of its own.
     */
    private boolean isMarkedRetry(Request request, double secondsLeft) {
        double usual = usualSecondsLeft[request.requestClassIndex];
        if (!request.markedRetry) {
            usualSecondsLeft[request.requestClassIndex] = secondsLeft;
            return false;
        }
        return Math.abs(secondsLeft - usual) > TIME_LEFT_TOLERANCE * usual;
    }

    /**
     * Returns whether a try looks like a retry because it has less time left than others. For
     * clients that do not mark retries.
     */
    private boolean looksLikeRetry(int requestClass, double secondsLeft) {
        double usual = usualSecondsLeft[requestClass];
        consecutiveShorter[requestClass] =
                secondsLeft < (1 - TIME_LEFT_TOLERANCE) * usual
                        ? consecutiveShorter[requestClass] + 1
                        : 0;
        usual =
                consecutiveShorter[requestClass] > MAX_CONSECUTIVE_SHORTER
                        ? secondsLeft
                        : Math.max(usual, secondsLeft);
        usualSecondsLeft[requestClass] = usual;
        return secondsLeft < (1 - TIME_LEFT_TOLERANCE) * usual;
    }

    /**
     * Sends a request that has no attempt in flight through the chain, or ends it if it has no time
     * left.
     */
    void offerAgain(Request request, double now, Decision decision) {
        if (!request.completed && now < request.attemptDeadline) {
            offer(request, now, decision);
        } else {
            replyLocally(request, FailureReason.NO_TIME_LEFT, 0, decision);
        }
    }

    @Override
    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        if (attempt.request.attemptsInFlight == 0) {
            offerAgain(attempt.request, now, decision);
        }
    }

    /**
     * Ends a request that is still open: as rejected, with a Retry-After, if a retry of the client
     * is harmless, otherwise as failed. Guards against a second effect caused by the retry that a
     * rejection invites.
     */
    @Override
    void replyLocally(
            Request request, FailureReason reason, double retryAfterSeconds, Decision decision) {
        if (!request.completed) {
            request.failureReason = reason;
            request.completed = true;
            boolean rejected = RetryPolicy.isClientRetryHarmless(request);
            double boundedSeconds =
                    Math.min(retryAfterSeconds, backends.settings.limits().maxRetryAfterSeconds());
            decision.localReplies.add(
                    new Decision.LocalReply(request, rejected, rejected ? boundedSeconds : 0));
            cancelAttempts(request, decision);
        }
    }

    /** Ends a request whose client no longer waits for it. */
    void requestAbandoned(Request request, Decision decision) {
        request.completed = true;
        cancelAttempts(request, decision);
    }

    private void cancelAttempts(Request request, Decision decision) {
        if (!backends.settings.limits().canCancel() || request.responseStarted) {
            return;
        }
        for (Attempt attempt = request.latestAttempt; attempt != null; attempt = attempt.previous) {
            if (!attempt.ended) {
                decision.cancellations.add(attempt);
            }
        }
    }

    /** Ends every request that is still open at its deadline, regardless of the cause. */
    void wake(double now, Decision decision) {
        while (wakeAt() <= now) {
            Request request = openRequests.poll();
            if (!request.responseStarted) {
                replyLocally(request, FailureReason.EXPIRED, 0, decision);
            }
        }
    }

    /** Returns the earliest deadline of an open request, in seconds; infinite if there is none. */
    double wakeAt() {
        while (!openRequests.isEmpty() && openRequests.peek().completed) {
            openRequests.poll();
        }
        return openRequests.isEmpty() ? Double.POSITIVE_INFINITY : openRequests.peek().deadline;
    }
}
