package lemondrift.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;

/** The events of one request that the referee received. */
final class RequestHistory {
    private final List<Attempt> attempts = new ArrayList<>();
    private final Map<Attempt, AttemptOutcome> outcomes = new HashMap<>();
    private boolean closed;
    private double closedAt;

    void addAttempt(Attempt attempt) {
        attempts.add(attempt);
    }

    /** Returns the attempts sent so far, in the order of sending. */
    List<Attempt> attempts() {
        return attempts;
    }

    void addOutcome(Attempt attempt, AttemptOutcome outcome) {
        outcomes.put(attempt, outcome);
    }

    /**
     * Returns whether an attempt has ended with an outcome that proves that it was never executed.
     */
    boolean wasNeverExecuted(Attempt attempt) {
        AttemptOutcome outcome = outcomes.get(attempt);
        return outcome != null && outcome.neverExecuted;
    }

    /** Marks the request as closed: it got its final response, or its client no longer waits. */
    void close(double now) {
        closed = true;
        closedAt = now;
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * Returns whether the request was closed more than the slack before the given time, so that no
     * late event can explain a new attempt.
     */
    boolean wasClosedBefore(double now, double slackSeconds) {
        return closed && now > closedAt + slackSeconds;
    }
}
