package lemondrift.lab.simulation;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A fault of backends, traffic or discovery. Faults may overlap. Reports contain the components as
 * JSON.
 *
 * @param kind the kind of fault
 * @param startAt start time, in seconds from the start of the scenario
 * @param durationSeconds duration in seconds, over 0
 * @param share share of the backends that are affected, 0 to 1; at least one backend is affected
 * @param strength factor by which backends become slower, or traffic or work increases; for ERRORS
 *     and GRADE the share of requests that fail
 */
public record BackendFault(
        Kind kind,
        @JsonProperty("at") double startAt,
        @JsonProperty("lasts") double durationSeconds,
        double share,
        double strength) {
    /** Kinds of fault; experiments name them in lower case. */
    public enum Kind {
        /** Processes end and reset their requests; they restart cold when the fault ends. */
        CRASH,
        /**
         * Machines are silent: connections are neither established nor broken. The processes
         * restart cold when the fault ends.
         */
        VANISH,
        /** Backends make no progress. */
        STALL,
        /** Backends work slower by a factor, the strength. */
        SLOW,
        /** Backends respond to a share of the requests with an immediate error. */
        ERRORS,
        /**
         * Backends respond to a share of the requests of the last request class with an immediate
         * error.
         */
        GRADE,
        /**
         * Backends are replaced one after another, evenly over the duration; each is drained first,
         * and its successor starts cold.
         */
        DEPLOY,
        /** Traffic is multiplied by the strength. */
        BURST,
        /** The work of each request is multiplied by the strength. */
        HEAVY,
        /** Discovery sends nothing; changes are announced when the fault ends. */
        SILENCE
    }

    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException if a field is missing or out of its range
     */
    public BackendFault {
        if (kind == null
                || !(startAt >= 0)
                || !(durationSeconds > 0)
                || !(share >= 0 && share <= 1)
                || !(strength >= 0)) {
            throw new IllegalArgumentException(
                    "invalid fault: "
                            + kind
                            + " at "
                            + startAt
                            + " s for "
                            + durationSeconds
                            + " s, share "
                            + share
                            + ", strength "
                            + strength
                            + ": the kind must be given, the start must not be negative, the"
                            + " duration must be over 0 s, the share from 0 to 1 and the strength"
                            + " not negative");
        }
    }
}
