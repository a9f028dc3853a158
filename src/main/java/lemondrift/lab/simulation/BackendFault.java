package lemondrift.lab.simulation;

/**
 * Something that goes wrong in a world; any may overlap with any.
 *
 * @param kind what goes wrong
 * @param at when it begins, seconds from the start of the day
 * @param lasts for how many seconds
 * @param share of the backends that it falls on, 0 to 1; at least one
 * @param strength how many times slower, or more traffic; for ERRORS and GRADE the share that fails
 */
public record BackendFault(Kind kind, double at, double lasts, double share, double strength) {
    /** Kinds of trouble. */
    public enum Kind {
        /** Processes die, what they held is reset; they come back cold when it is over. */
        CRASH,
        /**
         * Machines say nothing more: connections neither come up nor break; back cold when it is
         * over.
         */
        VANISH,
        /** They stand still. */
        STALL,
        /** They work slower, by the strength. */
        SLOW,
        /** A share of what they get is answered with an error at once. */
        ERRORS,
        /** The same for the last request class alone. */
        GRADE,
        /**
         * They are replaced one after another within the time, each drained first, successors cold.
         */
        DEPLOY,
        /** Traffic is so many times the usual. */
        BURST,
        /** Requests cost so many times the usual. */
        HEAVY,
        /** Discovery says nothing; what changed is told when it is over. */
        SILENCE
    }

    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException where one is missing or out of its range
     */
    public BackendFault {
        if (kind == null
                || !(at >= 0)
                || !(lasts > 0)
                || !(share >= 0 && share <= 1)
                || !(strength >= 0)) {
            throw new IllegalArgumentException(
                    "a trouble that cannot be: " + kind + " at " + at + " s");
        }
    }
}
