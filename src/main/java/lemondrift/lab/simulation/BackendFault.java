package lemondrift.lab.simulation;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A fault of backends, traffic or discovery; any may overlap with any. Reports give its components
 * by these names.
 *
 * @param kind what fails
 * @param startAt when it begins, in seconds from the start of the scenario
 * @param durationSeconds for how many seconds
 * @param share of the backends that it falls on, 0 to 1; at least one
 * @param strength how many times slower, or more traffic; for ERRORS and GRADE the share that fails
 */
public record BackendFault(
        Kind kind,
        @JsonProperty("at") double startAt,
        @JsonProperty("lasts") double durationSeconds,
        double share,
        double strength) {
    /** Kinds of fault, as experiments name them. */
    public enum Kind {
        /** Processes die and reset what they held; they restart cold when it is over. */
        CRASH,
        /**
         * Machines are silent: connections neither come up nor break; they restart cold when it is
         * over.
         */
        VANISH,
        /** Backends stand still. */
        STALL,
        /** Backends work slower, by the strength. */
        SLOW,
        /** Backends answer a share of the requests with an error at once. */
        ERRORS,
        /** The same for the last request class alone. */
        GRADE,
        /**
         * Backends are replaced one after another within the time, each drained first, their
         * successors cold.
         */
        DEPLOY,
        /** Traffic is so many times the usual. */
        BURST,
        /** Requests cost so many times the usual. */
        HEAVY,
        /** Discovery says nothing; changes are announced when it is over. */
        SILENCE
    }

    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException where one is missing or out of its range
     */
    public BackendFault {
        if (kind == null
                || !(startAt >= 0)
                || !(durationSeconds > 0)
                || !(share >= 0 && share <= 1)
                || !(strength >= 0)) {
            throw new IllegalArgumentException(
                    "a trouble that cannot be: " + kind + " at " + startAt + " s");
        }
    }
}
