package lemondrift.lab.simulation;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;

/**
 * Checks a run against the four rules. It shares no code with the decisions and receives only
 * events: requests accepted, attempts sent and ended, endpoint states received, responses sent. All
 * times are in seconds. Every event method throws {@link RuleViolationException} if the event
 * violates a checked rule.
 */
public final class Referee {
    /** The number of rules. */
    public static final int RULE_COUNT = 4;

    /**
     * The number of rules that a baseline keeps, counted from the first: it does not protect cold
     * backends.
     */
    public static final int BASELINE_RULE_COUNT = 3;

    /**
     * Each request gets one response before its deadline, and no attempt is sent after the response
     * or the deadline.
     */
    private static final int ONE_RESPONSE_RULE = 1;

    /** A request that may have been executed is not executed again, unless that is harmless. */
    private static final int NO_UNSAFE_REPEAT_RULE = 2;

    /** A draining backend gets no new attempt after the grace period. */
    private static final int DRAIN_RULE = 3;

    /** A cold backend gets no more work than it can handle. */
    private static final int COLD_BACKEND_RULE = 4;

    /** The tolerance for rounding errors of a response at the deadline, in seconds. */
    private static final double ROUNDING_SECONDS = 1e-9;

    /**
     * Thrown if a rule is violated; the message names the rule, time, proxy and request, and lists
     * the previous events.
     */
    public static final class RuleViolationException extends RuntimeException {
        private static final long serialVersionUID = 1;

        /** The number of the rule, from 1. */
        public final int rule;

        RuleViolationException(int rule, String message) {
            super(message);
            this.rule = rule;
        }
    }

    private final Settings settings;
    private final int checkedRules;
    private final double drainGraceSeconds;
    private final double slackSeconds;
    private final int[] locations;
    private final double backendCapacity;
    private final EventHistory history = new EventHistory();
    private final Map<Request, RequestHistory> openRequests = new HashMap<>();

    /**
     * By proxy and backend: when the proxy was first notified that the backend drains or is gone;
     * infinite if it is ready.
     */
    private final double[][] drainingSince;

    /** When each backend last started; negative infinity before its first restart. */
    private final double[] startedAt;

    /** The work sent to each backend while it was cold. */
    private final WorkWindow[] coldWork;

    /**
     * Creates a referee.
     *
     * @param checkedRules the number of rules that are checked, counted from the first
     * @param drainGraceSeconds how long requests may still be sent to a draining backend
     * @param slackSeconds how much later than at the proxy an event may be reported here
     * @param locations the location of each backend, by its index
     * @param backendCapacity seconds of work that each warm backend completes per second
     */
    public Referee(
            Settings settings,
            int checkedRules,
            double drainGraceSeconds,
            double slackSeconds,
            int proxies,
            int[] locations,
            double backendCapacity) {
        this.settings = settings;
        this.checkedRules = checkedRules;
        this.drainGraceSeconds = drainGraceSeconds;
        this.slackSeconds = slackSeconds;
        this.locations = locations;
        this.backendCapacity = backendCapacity;
        drainingSince = new double[proxies][locations.length];
        for (double[] timesOfProxy : drainingSince) {
            Arrays.fill(timesOfProxy, Double.POSITIVE_INFINITY);
        }
        startedAt = new double[locations.length];
        Arrays.fill(startedAt, Double.NEGATIVE_INFINITY);
        coldWork = new WorkWindow[locations.length];
        Arrays.setAll(coldWork, i -> new WorkWindow(settings.rules().overloadWindowSeconds()));
    }

    private void reportViolation(int rule, String reason, double at, int proxy, long requestId) {
        if (rule > checkedRules) {
            return;
        }
        StringBuilder message = new StringBuilder();
        message.append("rule ").append(rule);
        message.append(" violated at ").append(at).append(" s");
        message.append(" by proxy ").append(proxy);
        message.append(", request ").append(requestId);
        message.append(": ").append(reason);
        history.appendTo(message);
        throw new RuleViolationException(rule, message.toString());
    }

    /** Records that a proxy has accepted a request. */
    public void requestAccepted(int proxy, Request request, double now) {
        history.add(now, "request accepted", proxy, request.id, EventHistory.NONE);
        openRequests.put(request, new RequestHistory());
    }

    /**
     * Checks all four rules for an attempt that was sent; its work is in seconds of one warm core.
     */
    public void attemptSent(int proxy, Attempt attempt, double workSeconds, double now) {
        Request request = attempt.request;
        history.add(now, "attempt sent", proxy, request.id, attempt.backend);
        RequestHistory requestHistory = openRequests.get(request);
        if (requestHistory == null
                || requestHistory.wasClosedBefore(now, slackSeconds)
                || now >= request.deadline + slackSeconds) {
            String reason =
                    "attempt sent after the response or the deadline of its request, to backend "
                            + attempt.backend;
            reportViolation(ONE_RESPONSE_RULE, reason, now, proxy, request.id);
            return;
        }
        checkRepeat(proxy, attempt, requestHistory, now);
        requestHistory.addAttempt(attempt);
        checkDrain(proxy, attempt, now);
        checkColdBackend(proxy, attempt, workSeconds, now);
    }

    private void checkRepeat(
            int proxy, Attempt attempt, RequestHistory requestHistory, double now) {
        for (Attempt previous : requestHistory.attempts()) {
            if (!requestHistory.wasNeverExecuted(previous) && !mayRepeat(attempt, previous, now)) {
                String reason =
                        "retry of a request that may have been executed at backend "
                                + previous.backend;
                reportViolation(NO_UNSAFE_REPEAT_RULE, reason, now, proxy, attempt.request.id);
            }
        }
    }

    private boolean mayRepeat(Attempt attempt, Attempt previous, double now) {
        RequestClass requestClass = requestClassOf(attempt.request);
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_WITH_KEY ->
                    now - previous.sentAt < requestClass.idempotencyKeyTtlSeconds() + slackSeconds
                            && recognizesKey(requestClass.deduplicationScope(), previous, attempt);
            case NOT_IDEMPOTENT -> false;
        };
    }

    private boolean recognizesKey(DeduplicationScope scope, Attempt previous, Attempt attempt) {
        boolean isSameLocation = locations[previous.backend] == locations[attempt.backend];
        return scope == DeduplicationScope.ALL
                || (scope == DeduplicationScope.LOCATION && isSameLocation)
                || previous.backend == attempt.backend;
    }

    private RequestClass requestClassOf(Request request) {
        return settings.requestClasses().get(request.requestClassIndex);
    }

    private void checkDrain(int proxy, Attempt attempt, double now) {
        double since = drainingSince[proxy][attempt.backend];
        if (now > since + drainGraceSeconds + slackSeconds) {
            String reason =
                    "attempt sent to a backend that drains or is gone, notified at " + since;
            reportViolation(DRAIN_RULE, reason, now, proxy, attempt.request.id);
        }
    }

    /**
     * Compares the work that all proxies sent to a cold backend within the overload window with the
     * work that it can handle.
     */
    private void checkColdBackend(int proxy, Attempt attempt, double workSeconds, double now) {
        Settings.Rules rules = settings.rules();
        double ageSeconds = now - startedAt[attempt.backend];
        if (ageSeconds >= rules.slowStartSeconds()) {
            return;
        }
        WorkWindow work = coldWork[attempt.backend];
        work.add(now, workSeconds);
        double capacityShare =
                rules.slowStartMinShare()
                        + (1 - rules.slowStartMinShare())
                                * Math.max(0, ageSeconds)
                                / rules.slowStartSeconds();
        double budgetSeconds =
                rules.overloadFactor()
                        * capacityShare
                        * backendCapacity
                        * rules.overloadWindowSeconds();
        if (work.exceeds(budgetSeconds)) {
            String reason =
                    "cold backend overloaded: "
                            + work.requestCount()
                            + " requests in the overload window exceed "
                            + budgetSeconds
                            + " s of work";
            reportViolation(COLD_BACKEND_RULE, reason, now, proxy, attempt.request.id);
        }
    }

    /** Records the outcome of an attempt, when its proxy receives it. */
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, double now) {
        history.add(now, outcome.name(), EventHistory.NONE, attempt.request.id, attempt.backend);
        RequestHistory requestHistory = openRequests.get(attempt.request);
        if (requestHistory != null) {
            requestHistory.addOutcome(attempt, outcome);
        }
    }

    /** Checks the final response of a request; a rejection guarantees that a retry is harmless. */
    public void responseSent(int proxy, Request request, boolean rejected, double now) {
        history.add(now, rejected ? "rejected" : "responded", proxy, request.id, EventHistory.NONE);
        RequestHistory requestHistory = openRequests.get(request);
        if (requestHistory == null
                || requestHistory.isClosed()
                || now > request.deadline + slackSeconds + ROUNDING_SECONDS) {
            reportViolation(
                    ONE_RESPONSE_RULE,
                    "second response, or response after the deadline",
                    now,
                    proxy,
                    request.id);
            return;
        }
        requestHistory.close(now);
        if (rejected && !isRetryHarmless(request, requestHistory)) {
            reportViolation(
                    NO_UNSAFE_REPEAT_RULE,
                    "rejected although it may have been executed",
                    now,
                    proxy,
                    request.id);
        }
    }

    private boolean isRetryHarmless(Request request, RequestHistory requestHistory) {
        RequestClass requestClass = requestClassOf(request);
        Idempotency idempotency = requestClass.idempotency();
        return idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL)
                || requestHistory.attempts().stream().allMatch(requestHistory::wasNeverExecuted);
    }

    /**
     * Handles a client that has left, or the deadline of its request.
     *
     * @param left whether the client closed the connection; if false, a missing response violates a
     *     rule
     */
    public void requestClosed(int proxy, Request request, boolean left, double now) {
        RequestHistory requestHistory = openRequests.get(request);
        if (requestHistory == null) {
            return;
        }
        if (!requestHistory.isClosed() && !left) {
            reportViolation(
                    ONE_RESPONSE_RULE, "no response until the deadline", now, proxy, request.id);
        }
        requestHistory.close(now);
    }

    /** Removes a request for which no further events follow. */
    public void forget(Request request) {
        openRequests.remove(request);
    }

    /** Records that a proxy has received the state of a backend from discovery. */
    public void endpointStateReceived(int proxy, int backend, boolean ready, double now) {
        history.add(
                now,
                ready ? "endpoint ready received" : "endpoint draining or gone received",
                proxy,
                EventHistory.NONE,
                backend);
        drainingSince[proxy][backend] =
                ready ? Double.POSITIVE_INFINITY : Math.min(now, drainingSince[proxy][backend]);
    }

    /** Records that the process of a backend has started, cold. */
    public void backendStarted(int backend, double now) {
        startedAt[backend] = now;
        coldWork[backend].clear();
    }
}
