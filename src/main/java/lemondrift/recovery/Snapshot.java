package lemondrift.recovery;

/**
 * What a proxy stores for its next start, where a disk lasts.
 *
 * @param proxyName the proxy's name; a snapshot of another proxy is not used
 * @param bootId tells one run of the machine from the next, empty where that is not known
 * @param startNumber the start number, which the next start has to pass
 * @param writtenAt when it was written, in seconds since 1970 by a wall clock that may be wrong
 * @param serviceTimeSeconds mean service time in seconds, 0 without samples
 * @param samples from how many samples that is the mean
 */
public record Snapshot(
        String proxyName,
        String bootId,
        long startNumber,
        double writtenAt,
        double serviceTimeSeconds,
        int samples) {
    /** Seconds for which the service time counts with all its samples. */
    private static final double MAX_AGE_SECONDS = 24 * 3600;

    /** As how many samples an old service time, or one of another run of the machine, counts. */
    private static final int MAX_UNRELIABLE_SAMPLES = 1;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException where a value is missing or out of range
     */
    public Snapshot {
        if (proxyName == null
                || bootId == null
                || startNumber < 0
                || !(serviceTimeSeconds >= 0)
                || serviceTimeSeconds == Double.POSITIVE_INFINITY
                || samples < 0
                || (serviceTimeSeconds == 0) != (samples == 0)) {
            throw new IllegalArgumentException("a value of the snapshot is out of range");
        }
    }

    /**
     * What is used of a snapshot at a start.
     *
     * @param previousStartNumber the new start number has to be above this
     * @param serviceTimeSeconds service time to go by until peers or own samples say more, 0 for
     *     none
     * @param samples as how many samples that counts
     * @param reason in words for the log
     */
    public record RestoredValues(
            long previousStartNumber, double serviceTimeSeconds, int samples, String reason) {
        /** Where there is no snapshot that can be read. */
        public static final RestoredValues NONE = new RestoredValues(0, 0, 0, "no snapshot");
    }

    /**
     * What a starting proxy uses of it.
     *
     * @param startingProxyName the name of the proxy that starts
     * @param currentBootId tells the current run of the machine, empty where that is not known
     * @param wallSeconds the wall clock, in seconds since 1970
     */
    public RestoredValues restore(
            String startingProxyName, String currentBootId, double wallSeconds) {
        if (!proxyName.equals(startingProxyName)) {
            return new RestoredValues(0, 0, 0, "of another proxy, " + proxyName);
        }
        double ageSeconds = wallSeconds - writtenAt;
        boolean rebooted = bootId.isEmpty() || !bootId.equals(currentBootId);
        // Guards against a clock that has gone back: it tells no age, so any age is assumed.
        boolean old = !(ageSeconds >= 0 && ageSeconds <= MAX_AGE_SECONDS);
        return new RestoredValues(
                startNumber,
                serviceTimeSeconds,
                old || rebooted ? Math.min(MAX_UNRELIABLE_SAMPLES, samples) : samples,
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
