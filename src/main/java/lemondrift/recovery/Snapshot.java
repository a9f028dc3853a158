package lemondrift.recovery;

/**
 * What a proxy stores for its next start, where a disk lasts.
 *
 * @param name the proxy's name; a snapshot of another proxy is not used
 * @param boot tells one run of the machine from the next, empty where that is not known
 * @param start the start number, which the next start has to pass
 * @param at when it was written, in seconds since 1970 by a wall clock that may be wrong
 * @param work mean service time in seconds, 0 without samples
 * @param answers from how many samples that is the mean
 */
public record Snapshot(String name, String boot, long start, double at, double work, int answers) {
    /** Seconds for which the service time counts with all its samples. */
    private static final double MAX_AGE_SECONDS = 24 * 3600;

    /** As how many samples an old service time, or one of another run of the machine, counts. */
    private static final int MAX_SAMPLES_WHERE_DOUBTED = 1;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException where a value is missing or out of range
     */
    public Snapshot {
        if (name == null
                || boot == null
                || start < 0
                || !(work >= 0)
                || work == Double.POSITIVE_INFINITY
                || answers < 0
                || (work == 0) != (answers == 0)) {
            throw new IllegalArgumentException("a value of the snapshot is out of range");
        }
    }

    /**
     * What is used of a snapshot at a start.
     *
     * @param previousStart the new start number has to be above this
     * @param serviceTimeSeconds service time to go by until peers or own samples say more, 0 for
     *     none
     * @param samples as how many samples that counts
     * @param reason in words for the log
     */
    public record Trusted(
            long previousStart, double serviceTimeSeconds, int samples, String reason) {
        /** Where there is no snapshot that can be read. */
        public static final Trusted NOTHING = new Trusted(0, 0, 0, "no snapshot");
    }

    /**
     * What a starting proxy uses of it.
     *
     * @param startingProxy the name of the proxy that starts
     * @param currentBoot tells the current run of the machine, empty where that is not known
     * @param wallSeconds the wall clock, in seconds since 1970
     */
    public Trusted trusted(String startingProxy, String currentBoot, double wallSeconds) {
        if (!name.equals(startingProxy)) {
            return new Trusted(0, 0, 0, "of another proxy, " + name);
        }
        double ageSeconds = wallSeconds - at;
        boolean rebooted = boot.isEmpty() || !boot.equals(currentBoot);
        // Guards against a clock that has gone back: it tells no age, so any age is assumed.
        boolean old = !(ageSeconds >= 0 && ageSeconds <= MAX_AGE_SECONDS);
        return new Trusted(
                start,
                work,
                old || rebooted ? Math.min(MAX_SAMPLES_WHERE_DOUBTED, answers) : answers,
                reason(ageSeconds, old, rebooted));
    }

    private static String reason(double ageSeconds, boolean old, boolean rebooted) {
        if (ageSeconds < 0) {
            return "from later than now: the clock has gone back";
        }
        if (old) {
            return "over a day old";
        }
        return rebooted ? "of an earlier run of the machine" : "of this run of the machine";
    }
}
