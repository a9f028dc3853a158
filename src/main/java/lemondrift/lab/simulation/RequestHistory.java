package lemondrift.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;

/** What the referee saw of one request. */
final class RequestHistory {
    private final List<Attempt> attempts = new ArrayList<>();
    private final Map<Attempt, AttemptOutcome> outcomes = new HashMap<>();
    private boolean closed;
    private double closedAt;

    void addAttempt(Attempt attempt) {
        attempts.add(attempt);
    }

    /** The attempts sent so far, in their order. */
    List<Attempt> attempts() {
        return attempts;
    }

    void addOutcome(Attempt attempt, AttemptOutcome outcome) {
        outcomes.put(attempt, outcome);
    }

    /** Whether an attempt has ended in a way that proves it was never executed. */
    boolean wasNeverExecuted(Attempt attempt) {
        AttemptOutcome outcome = outcomes.get(attempt);
        return outcome != null && outcome.neverExecuted;
    }

    /** The request got its final response, or its client no longer waits. */
    void close(double now) {
        closed = true;
        closedAt = now;
    }

    boolean isClosed() {
        return closed;
    }

    /** Whether it was closed longer ago than an event may be seen late. */
    boolean wasClosedBefore(double now, double slackSeconds) {
        return closed && now > closedAt + slackSeconds;
    }
}
