package lemondrift.lab;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import lemondrift.lab.simulation.ReportKeys;
import lemondrift.lab.simulation.RunResult;

/** A figure of a run that an expectation can refer to; docs/lab.md defines the figures. */
@SuppressWarnings("ImmutableEnumChecker") // the readers are method references without state
public enum Figure {
    /** Served priority weight, as a share of the requested weight. */
    SERVICE("service", RunResult::servedShare),
    /** Client requests served within the latency objective, as a share. */
    IN_TIME("in_time", RunResult::inTimeShare),
    /** Accepted requests without a response at their deadline. */
    UNANSWERED("unanswered", result -> result.unanswered),
    /** Successful responses after the latency objective. */
    LATE("late", result -> result.late),
    /** Rejected requests. */
    REJECTED(ReportKeys.REJECTED, result -> result.rejected),
    /** Failed requests. */
    FAILED(ReportKeys.FAILED, result -> result.failed),
    /** Number of cold backends that were overloaded. */
    OVERLOADED_COLD_BACKENDS("fallen", result -> result.overloadedColdBackends),
    /** Attempts per accepted request. */
    ATTEMPTS_PER_REQUEST(
            "forwards_per_exchange",
            result -> (double) result.attempts / Math.max(1, result.accepted)),
    /** Share of backends that are idle while as many requests wait at other backends. */
    WASTE("waste", result -> result.evenness.waste()),
    /** Number of requests that the fullest backend holds, mean over time. */
    FULLEST("fullest", result -> result.evenness.fullest()),
    /** Maximum number of requests sent to one backend within a tenth of a latency objective. */
    HERD("herd", result -> result.evenness.herd()),
    /** Longest time, in seconds, for which a backend was idle while another was crowded. */
    LONGEST_IDLE("longest_idle", result -> result.evenness.longestIdle()),
    /** Smallest number of requests served by a backend, divided by the mean. */
    LEAST_SHARE("least_share", result -> result.evenness.least()),
    /** Largest number of requests served by a backend, divided by the mean. */
    MOST_SHARE("most_share", result -> result.evenness.most()),
    /** Processes that ended unexpectedly or did not drain. */
    CRASHED("crashed", result -> result.crashed),
    /** Served priority weight, divided by the weight that the backends could have served. */
    OF_SERVABLE("of_bearable", RunResult::servedShareOfServable),
    /** Seconds after which at least 95% of the priority weight is served until the end. */
    BACK_AFTER("back_after", RunResult::recoveredAfterSeconds);

    private final String key;
    private final ToDoubleFunction<RunResult> reader;

    Figure(String key, ToDoubleFunction<RunResult> reader) {
        this.key = key;
        this.reader = reader;
    }

    /** Returns the name of the figure in experiments and reports. */
    public String key() {
        return key;
    }

    /** Returns the figure with a key; empty if there is none. */
    static Optional<Figure> byKey(String key) {
        return Arrays.stream(values()).filter(figure -> figure.key.equals(key)).findFirst();
    }

    /** Returns the keys of all figures. */
    static List<String> keys() {
        return Arrays.stream(values()).map(Figure::key).toList();
    }

    /**
     * Returns the figure of a run; NaN if a rule violation ended the run, because its result is
     * then incomplete.
     */
    public double readFrom(RunResult result) {
        return result.evenness == null ? Double.NaN : reader.applyAsDouble(result);
    }
}
