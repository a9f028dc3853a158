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
 * Judges a run by the four rules alone. It shares no code with the decisions and sees only what
 * passes: requests accepted, attempts sent and ended, backends listed, responses. All times are in
 * seconds. Every event throws {@link RuleViolationException} where it breaks a rule that is judged.
 */
public final class Referee {
    /** How many rules there are. */
    public static final int RULE_COUNT = 4;

    /** How many of the first rules a baseline keeps: it spares no cold backend. */
    public static final int BASELINE_RULE_COUNT = 3;

    /** Each request gets one response before its deadline, and no attempt after it. */
    private static final int ONE_RESPONSE_RULE = 1;

    /** What may have been executed is not executed again, unless that is harmless. */
    private static final int NO_UNSAFE_REPEAT_RULE = 2;

    /** A draining backend gets nothing new after the grace. */
    private static final int DRAIN_RULE = 3;

    /** A cold backend gets no more work than it can bear. */
    private static final int COLD_BACKEND_RULE = 4;

    /** How much later than the deadline a response may be by rounding, in seconds. */
    private static final double ROUNDING_SECONDS = 1e-9;

    /** A rule was broken; the message names rule, request, time and the events before. */
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
     * By proxy and backend: since when the proxy knows that it drains; infinite where it is ready.
     */
    private final double[][] drainingSince;

    /** When each backend last started. */
    private final double[] startedAt;

    /** The work sent to each backend while it was cold. */
    private final WorkWindow[] coldWork;

    /**
     * Creates a referee.
     *
     * @param checkedRules how many of the rules are judged, the first ones
     * @param drainGraceSeconds how long a draining backend may still be sent requests
     * @param slackSeconds how much later than at the proxy an event may be seen
     * @param locations the location of each backend
     * @param backendCapacity seconds of work that each warm backend does in a second
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
        for (double[] ofProxy : drainingSince) {
            Arrays.fill(ofProxy, Double.POSITIVE_INFINITY);
        }
        startedAt = new double[locations.length];
        Arrays.fill(startedAt, Double.NEGATIVE_INFINITY);
        coldWork = new WorkWindow[locations.length];
        Arrays.setAll(coldWork, i -> new WorkWindow(settings.rules().overloadWindowSeconds()));
    }

    private void reportViolation(int rule, String why, double at, int proxy, long requestId) {
        if (rule > checkedRules) {
            return;
        }
        StringBuilder text = new StringBuilder();
        text.append("rule ").append(rule);
        text.append(" broken at ").append(at).append(" s");
        text.append(" by proxy ").append(proxy);
        text.append(", exchange ").append(requestId);
        text.append(": ").append(why);
        history.appendTo(text);
        throw new RuleViolationException(rule, text.toString());
    }

    /** A proxy has accepted a request. */
    public void requestAccepted(int proxy, Request request, double now) {
        history.add(now, "taken", proxy, request.id, EventHistory.NONE);
        openRequests.put(request, new RequestHistory());
    }

    /** An attempt was sent; its work is in seconds of one warm core. All four rules are judged. */
    public void attemptSent(int proxy, Attempt attempt, double workSeconds, double now) {
        Request request = attempt.request;
        history.add(now, "sent", proxy, request.id, attempt.backend);
        RequestHistory seen = openRequests.get(request);
        if (seen == null
                || seen.wasClosedBefore(now, slackSeconds)
                || now >= request.deadline + slackSeconds) {
            String why = "sent after its answer or expiry to backend " + attempt.backend;
            reportViolation(ONE_RESPONSE_RULE, why, now, proxy, request.id);
            return;
        }
        checkRepeat(proxy, attempt, seen, now);
        seen.addAttempt(attempt);
        checkDrain(proxy, attempt, now);
        checkColdBackend(proxy, attempt, workSeconds, now);
    }

    private void checkRepeat(int proxy, Attempt attempt, RequestHistory seen, double now) {
        for (Attempt before : seen.attempts()) {
            if (!seen.wasNeverExecuted(before) && !mayRepeat(attempt, before, now)) {
                String why = "sent again though it may have run at backend " + before.backend;
                reportViolation(NO_UNSAFE_REPEAT_RULE, why, now, proxy, attempt.request.id);
            }
        }
    }

    private boolean mayRepeat(Attempt attempt, Attempt before, double now) {
        RequestClass requestClass = requestClassOf(attempt.request);
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_WITH_KEY ->
                    now - before.sentAt < requestClass.idempotencyKeyTtlSeconds() + slackSeconds
                            && recognizesKey(requestClass.deduplicationScope(), before, attempt);
            case NOT_IDEMPOTENT -> false;
        };
    }

    private boolean recognizesKey(DeduplicationScope scope, Attempt before, Attempt attempt) {
        boolean isSameLocation = locations[before.backend] == locations[attempt.backend];
        return scope == DeduplicationScope.ALL
                || (scope == DeduplicationScope.LOCATION && isSameLocation)
                || before.backend == attempt.backend;
    }

    private RequestClass requestClassOf(Request request) {
        return settings.requestClasses().get(request.requestClassIndex);
    }

    private void checkDrain(int proxy, Attempt attempt, double now) {
        double since = drainingSince[proxy][attempt.backend];
        if (now > since + drainGraceSeconds + slackSeconds) {
            String why = "sent to a backend told as leaving at " + since;
            reportViolation(DRAIN_RULE, why, now, proxy, attempt.request.id);
        }
    }

    /** All proxies' work for a cold backend in any window, against what it can do then. */
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
            String why =
                    "a cold backend got more than it can bear, "
                            + work.requestCount()
                            + " exchanges in a window";
            reportViolation(COLD_BACKEND_RULE, why, now, proxy, attempt.request.id);
        }
    }

    /** An attempt has ended, as its proxy learns of it. */
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, double now) {
        history.add(now, outcome.name(), EventHistory.NONE, attempt.request.id, attempt.backend);
        RequestHistory seen = openRequests.get(attempt.request);
        if (seen != null) {
            seen.addOutcome(attempt, outcome);
        }
    }

    /** A request got its final response; a rejection promises that a retry is harmless. */
    public void responseSent(int proxy, Request request, boolean rejected, double now) {
        history.add(now, rejected ? "shed" : "answered", proxy, request.id, EventHistory.NONE);
        RequestHistory seen = openRequests.get(request);
        if (seen == null
                || seen.isClosed()
                || now > request.deadline + slackSeconds + ROUNDING_SECONDS) {
            reportViolation(
                    ONE_RESPONSE_RULE,
                    "answered twice or after its expiry",
                    now,
                    proxy,
                    request.id);
            return;
        }
        seen.close(now);
        if (rejected && !isRetryHarmless(request, seen)) {
            reportViolation(
                    NO_UNSAFE_REPEAT_RULE, "shed though it may have run", now, proxy, request.id);
        }
    }

    private boolean isRetryHarmless(Request request, RequestHistory seen) {
        RequestClass requestClass = requestClassOf(request);
        Idempotency idempotency = requestClass.idempotency();
        return idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL)
                || seen.attempts().stream().allMatch(seen::wasNeverExecuted);
    }

    /**
     * The client has left or the deadline of its request has passed.
     *
     * @param left whether the client left by itself; else a missing response breaks a rule
     */
    public void requestClosed(int proxy, Request request, boolean left, double now) {
        RequestHistory seen = openRequests.get(request);
        if (seen == null) {
            return;
        }
        if (!seen.isClosed() && !left) {
            reportViolation(ONE_RESPONSE_RULE, "no answer by its expiry", now, proxy, request.id);
        }
        seen.close(now);
    }

    /** Nothing more will be seen of a request. */
    public void forget(Request request) {
        openRequests.remove(request);
    }

    /**
     * A proxy has received from discovery that a backend is ready, or that it drains or is gone.
     */
    public void endpointStateReceived(int proxy, int backend, boolean ready, double now) {
        history.add(now, ready ? "told ready" : "told leaving", proxy, EventHistory.NONE, backend);
        drainingSince[proxy][backend] =
                ready ? Double.POSITIVE_INFINITY : Math.min(now, drainingSince[proxy][backend]);
    }

    /** The process of a backend has started, cold. */
    public void backendStarted(int backend, double now) {
        startedAt[backend] = now;
        coldWork[backend].clear();
    }
}
