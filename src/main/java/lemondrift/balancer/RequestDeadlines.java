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
 * Rule 1: each request has one final answer, no later than its deadline, and no attempt is made
 * after its attempt deadline.
 *
 * <p>The deadline is when the client stops waiting. The attempt deadline is the arrival plus the
 * latency objective of the request class, or its timeout where a late response still counts, less
 * what the client's earlier tries have used up; never later than the deadline. All in seconds.
 *
 * <p>After each attempt that did not answer it, a request goes through the chain again. It ends
 * here with NO_TIME_LEFT once the attempt deadline has passed, and with EXPIRED where it is still
 * open at its deadline and no response has started.
 */
final class RequestDeadlines extends DecisionStage {
    /** After so many tries in a row with less time, the longest time seen no longer counts. */
    private static final int MAX_CONSECUTIVE_SHORTER = 4;

    /** By how much the time left must differ from the usual to tell a retry, as a share of it. */
    private static final double TIME_LEFT_TOLERANCE = 0.01;

    private final BackendTable backends;

    /** By request class: the time that a first try has left when it arrives, in seconds. */
    private double[] usualSecondsLeft = {};

    /** By request class: how many tries in a row had less than that. */
    private int[] consecutiveShorter = {};

    /** The requests that may be open, the one with the nearest deadline first. */
    private final PriorityQueue<Request> openRequests =
            new PriorityQueue<>(Comparator.comparing(request -> request.deadline));

    RequestDeadlines(BackendTable backends) {
        this.backends = backends;
        settingsChanged(List.of());
    }

    /** Other request classes hold; what is known of those at reassigned indexes is forgotten. */
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
        // Guards against work after the first try's time, which is lost.
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
     * Whether a request is marked as a retry and its time tells that it shares its first try's.
     * Clients may stop waiting for a first try sooner than for the next, which then has its own.
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
     * Where clients do not mark retries, a try with less time left than others is taken for one.
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

    /** Sends a request through the chain, with nothing in flight, or ends it for lack of time. */
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
     * Ends a request that is still open: as rejected, with a Retry-After, where a retry of the
     * client is harmless; else as failed. Guards against a second effect by the retry that a
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

    /** Nobody waits for the request any more. */
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

    /** Whatever went wrong, ends what is still open at its deadline. */
    void wake(double now, Decision decision) {
        while (wakeAt() <= now) {
            Request request = openRequests.poll();
            if (!request.responseStarted) {
                replyLocally(request, FailureReason.EXPIRED, 0, decision);
            }
        }
    }

    /** The nearest deadline of an open request; infinite where there is none. */
    double wakeAt() {
        while (!openRequests.isEmpty() && openRequests.peek().completed) {
            openRequests.poll();
        }
        return openRequests.isEmpty() ? Double.POSITIVE_INFINITY : openRequests.peek().deadline;
    }
}
