package lemondrift.lab;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import lemondrift.lab.simulation.ReportKeys;
import lemondrift.lab.simulation.RunResult;

/** A figure of a run that an expectation may name; docs/lab.md defines them. */
@SuppressWarnings("ImmutableEnumChecker") // the readers are method references without state
public enum Figure {
    /** Served priority weight, as a share of the requested. */
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
    /** Cold backends that were overloaded. */
    OVERLOADED_COLD_BACKENDS("fallen", result -> result.overloadedColdBackends),
    /** Attempts for each accepted request. */
    ATTEMPTS_PER_REQUEST(
            "forwards_per_exchange",
            result -> (double) result.attempts / Math.max(1, result.accepted)),
    /** Share of backends idle while as many requests wait elsewhere. */
    WASTE("waste", result -> result.evenness.waste()),
    /** Requests that the fullest backend holds. */
    FULLEST("fullest", result -> result.evenness.fullest()),
    /** Most requests sent to one backend within a tenth of a latency objective. */
    HERD("herd", result -> result.evenness.herd()),
    /** Longest time, in seconds, that a backend was idle while another was crowded. */
    LONGEST_IDLE("longest_idle", result -> result.evenness.longestIdle()),
    /** Served by the backend with the least, over the mean. */
    LEAST_SHARE("least_share", result -> result.evenness.least()),
    /** Served by the backend with the most, over the mean. */
    MOST_SHARE("most_share", result -> result.evenness.most()),
    /** Processes that ended by themselves or did not drain. */
    CRASHED("crashed", result -> result.crashed),
    /** Served priority weight, over what the backends could have served. */
    OF_SERVABLE("of_bearable", RunResult::servedShareOfServable),
    /** Seconds after which priority weight is served as usual to the end. */
    BACK_AFTER("back_after", RunResult::recoveredAfterSeconds);

    private final String key;
    private final ToDoubleFunction<RunResult> reader;

    Figure(String key, ToDoubleFunction<RunResult> reader) {
        this.key = key;
        this.reader = reader;
    }

    /** The name of the figure in experiments and reports. */
    public String key() {
        return key;
    }

    /** The figure with a key; empty where there is none. */
    static Optional<Figure> byKey(String key) {
        return Arrays.stream(values()).filter(figure -> figure.key.equals(key)).findFirst();
    }

    /** The keys of all figures. */
    static List<String> keys() {
        return Arrays.stream(values()).map(Figure::key).toList();
    }

    /** The figure of a run; NaN of a run that a broken rule has ended, which lacks some of them. */
    public double readFrom(RunResult result) {
        return result.evenness == null ? Double.NaN : reader.applyAsDouble(result);
    }
}
