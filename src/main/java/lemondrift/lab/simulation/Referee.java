package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;

/**
 * Judges a day by the four rules alone. It shares no code with the decisions and sees only what
 * passes: what is taken, sent, ended, told and answered. The first rule that is broken fails the
 * run, with what went before it.
 */
public final class Referee {
    /** How many events before a broken rule are told. */
    private static final int TOLD = 12;

    /** A rule was broken; the message names rule, request, time and the events before. */
    public static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1;
        public final int rule;

        Broken(int rule, String message) {
            super(message);
            this.rule = rule;
        }
    }

    private record Event(double at, String what, int proxy, long exchange, int backend) {}

    /** What was seen of one request. */
    private static final class Seen {
        final List<Attempt> forwards = new ArrayList<>();
        final Map<Attempt, AttemptOutcome> outcomes = new HashMap<>();
        boolean answered;
        double answeredAt;

        boolean isOver(double now, double slack) {
            return answered && now > answeredAt + slack;
        }
    }

    /** Work that was sent to a backend that is not warm, and when. */
    private record Sent(double at, double work) {}

    private final Settings settings;
    private final int rules;
    private final double grace;
    private final double slack;
    private final Map<Request, Seen> open = new HashMap<>();
    private final Deque<Event> events = new ArrayDeque<>();

    /** When a proxy was told that a backend wants nothing new. */
    private final double[][] told;

    private final double[] started;
    private final double[] capacity;
    private final List<Deque<Sent>> cold = new ArrayList<>();
    private final int[] location;

    /**
     * The rules judged, the first so many; the grace after a drain and how much later than at the
     * proxy a thing may be seen, in seconds; the location of each backend and what each can do in a
     * second.
     */
    public Referee(
            Settings settings,
            int rules,
            double grace,
            double slack,
            int proxies,
            int[] location,
            double capacityOfEach) {
        this.settings = settings;
        this.rules = rules;
        this.grace = grace;
        this.slack = slack;
        this.location = location;
        told = new double[proxies][location.length];
        for (double[] each : told) {
            Arrays.fill(each, Double.POSITIVE_INFINITY);
        }
        started = new double[location.length];
        Arrays.fill(started, Double.NEGATIVE_INFINITY);
        capacity = new double[location.length];
        Arrays.fill(capacity, capacityOfEach);
        for (int i = 0; i < location.length; i++) {
            cold.add(new ArrayDeque<>());
        }
    }

    private void saw(double at, String what, int proxy, long exchange, int backend) {
        if (events.size() == TOLD) {
            events.removeFirst();
        }
        events.add(new Event(at, what, proxy, exchange, backend));
    }

    private void broken(int rule, String why, double at, int proxy, long exchange) {
        if (rule > rules) {
            return;
        }
        StringBuilder text =
                new StringBuilder(
                        "rule "
                                + rule
                                + " broken at "
                                + at
                                + " s by proxy "
                                + proxy
                                + ", exchange "
                                + exchange
                                + ": "
                                + why);
        for (Event each : events) {
            text.append("\n  ")
                    .append(each.at)
                    .append(" s ")
                    .append(each.what)
                    .append(", proxy ")
                    .append(each.proxy)
                    .append(", exchange ")
                    .append(each.exchange)
                    .append(", backend ")
                    .append(each.backend);
        }
        throw new Broken(rule, text.toString());
    }

    public void taken(int proxy, Request request, double now) {
        saw(now, "taken", proxy, request.id, -1);
        open.put(request, new Seen());
    }

    /** An attempt was sent; checks rules 1 to 4. The work is in seconds of one core. */
    public void sent(int proxy, Attempt attempt, double work, double now) {
        saw(now, "sent", proxy, attempt.request.id, attempt.backend);
        Seen seen = open.get(attempt.request);
        if (seen == null || seen.isOver(now, slack) || now >= attempt.request.deadline + slack) {
            broken(
                    1,
                    "sent after its answer or expiry to backend " + attempt.backend,
                    now,
                    proxy,
                    attempt.request.id);
            return;
        }
        for (Attempt before : seen.forwards) {
            AttemptOutcome outcome = seen.outcomes.get(before);
            if ((outcome == null || !outcome.neverExecuted) && !mayRepeat(attempt, before, now)) {
                broken(
                        2,
                        "sent again though it may have run at backend " + before.backend,
                        now,
                        proxy,
                        attempt.request.id);
            }
        }
        seen.forwards.add(attempt);
        if (now > told[proxy][attempt.backend] + grace + slack) {
            broken(
                    3,
                    "sent to a backend told as leaving at " + told[proxy][attempt.backend],
                    now,
                    proxy,
                    attempt.request.id);
        }
        countCold(proxy, attempt, work, now);
    }

    private boolean mayRepeat(Attempt attempt, Attempt before, double now) {
        RequestClass requestClass =
                settings.requestClasses().get(attempt.request.requestClassIndex);
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && now - before.sentAt < requestClass.idempotencyKeyTtlSeconds() + slack
                        && (requestClass.deduplicationScope() == DeduplicationScope.ALL
                                || (requestClass.deduplicationScope() == DeduplicationScope.LOCATION
                                        && location[before.backend] == location[attempt.backend])
                                || before.backend == attempt.backend));
    }

    /** Rule 4: all proxies' work for a cold backend in any window, against what it can do then. */
    private void countCold(int proxy, Attempt attempt, double work, double now) {
        double age = now - started[attempt.backend];
        double window = settings.rules().overloadWindowSeconds();
        if (age >= settings.rules().slowStartSeconds()) {
            return;
        }
        Deque<Sent> sent = cold.get(attempt.backend);
        sent.add(new Sent(now, work));
        while (sent.peek().at < now - window) {
            sent.remove();
        }
        double share =
                settings.rules().slowStartMinShare()
                        + (1 - settings.rules().slowStartMinShare())
                                * Math.max(0, age)
                                / settings.rules().slowStartSeconds();
        double bearable =
                settings.rules().overloadFactor() * share * capacity[attempt.backend] * window;
        // One request that is heavier than the window's budget by itself pushes nobody over.
        if (sent.size() > 1 && sent.stream().mapToDouble(Sent::work).sum() > bearable) {
            broken(
                    4,
                    "a cold backend got more than it can bear, "
                            + sent.size()
                            + " exchanges in a window",
                    now,
                    proxy,
                    attempt.request.id);
        }
    }

    /** An attempt ended, as its proxy learns of it. */
    public void ended(Attempt attempt, AttemptOutcome outcome, double now) {
        Seen seen = open.get(attempt.request);
        saw(now, outcome.name(), -1, attempt.request.id, attempt.backend);
        if (seen != null) {
            seen.outcomes.put(attempt, outcome);
        }
    }

    /** A final answer; rejected promises that a retry is harmless. */
    public void answered(int proxy, Request request, boolean shed, double now) {
        saw(now, shed ? "shed" : "answered", proxy, request.id, -1);
        Seen seen = open.get(request);
        if (seen == null || seen.answered || now > request.deadline + slack + 1e-9) {
            broken(1, "answered twice or after its expiry", now, proxy, request.id);
            return;
        }
        seen.answered = true;
        seen.answeredAt = now;
        RequestClass requestClass = settings.requestClasses().get(request.requestClassIndex);
        boolean harmless =
                requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                && requestClass.deduplicationScope() == DeduplicationScope.ALL)
                        || seen.forwards.stream()
                                .allMatch(
                                        attempt ->
                                                seen.outcomes.get(attempt) != null
                                                        && seen.outcomes.get(attempt)
                                                                .neverExecuted);
        if (shed && !harmless) {
            broken(2, "shed though it may have run", now, proxy, request.id);
        }
    }

    /** The client has gone, or its time is up: whoever has not answered by then never did. */
    public void closed(int proxy, Request request, boolean left, double now) {
        Seen seen = open.get(request);
        if (seen != null && !seen.answered && !left) {
            broken(1, "no answer by its expiry", now, proxy, request.id);
        }
        if (seen != null) {
            seen.answered = true;
            seen.answeredAt = now;
        }
    }

    /** Nothing more is to be seen of it. */
    public void forgets(Request request) {
        open.remove(request);
    }

    /** A proxy was told that a backend wants nothing new, or that it is ready. */
    public void told(int proxy, int backend, boolean ready, double now) {
        saw(now, ready ? "told ready" : "told leaving", proxy, -1, backend);
        told[proxy][backend] =
                ready ? Double.POSITIVE_INFINITY : Math.min(now, told[proxy][backend]);
    }

    public void started(int backend, double now) {
        started[backend] = now;
        cold.get(backend).clear();
    }

    /** How many requests it still knows; bounded by those that are open. */
    public int known() {
        return open.size();
    }
}
