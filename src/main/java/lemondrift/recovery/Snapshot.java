package lemondrift.recovery;

/**
 * The data that a proxy stores for its next start, if it has persistent storage.
 *
 * @param proxyName the name of the proxy; a snapshot of another proxy is not used
 * @param bootId identifies one boot of the machine; empty if it is not known
 * @param startNumber the start number of the proxy; the next start must use a higher one
 * @param writtenAt when the snapshot was written, in seconds since 1970 of a wall clock that may be
 *     wrong
 * @param serviceTimeSeconds mean service time, in seconds; 0 without samples
 * @param samples number of samples in that mean
 */
public record Snapshot(
        String proxyName,
        String bootId,
        long startNumber,
        double writtenAt,
        double serviceTimeSeconds,
        int samples) {
    /** Maximum age, in seconds, at which the service time counts with all its samples. */
    private static final double MAX_AGE_SECONDS = 24 * 3600;

    /** Maximum number of samples for a service time that is old or from an earlier boot. */
    private static final int MAX_UNRELIABLE_SAMPLES = 1;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public Snapshot {
        if (proxyName == null
                || bootId == null
                || startNumber < 0
                || !(serviceTimeSeconds >= 0)
                || serviceTimeSeconds == Double.POSITIVE_INFINITY
                || samples < 0
                || (serviceTimeSeconds == 0) != (samples == 0)) {
            throw new IllegalArgumentException(
                    "snapshot has a missing or out-of-range value: proxy name "
                            + proxyName
                            + ", boot id "
                            + bootId
                            + ", start number "
                            + startNumber
                            + ", service time "
                            + serviceTimeSeconds
                            + " s, samples "
                            + samples);
        }
    }

    /**
     * The values that a starting proxy takes from a snapshot.
     *
     * @param previousStartNumber the start number of an earlier start; the new one must be higher
     * @param serviceTimeSeconds service time to use until peers or own samples provide a better
     *     one; 0 if there is none
     * @param samples number of samples by which the service time is weighted
     * @param reason explanation for the log
     */
    public record RestoredValues(
            long previousStartNumber, double serviceTimeSeconds, int samples, String reason) {
        /** The values if there is no readable snapshot. */
        public static final RestoredValues NONE = new RestoredValues(0, 0, 0, "no snapshot");
    }

    /**
     * Returns the values that a starting proxy may use. The service time of a snapshot that is old
     * or from an earlier boot counts with fewer samples; nothing of another proxy's snapshot is
     * used.
     *
     * @param startingProxyName the name of the proxy that starts
     * @param currentBootId identifies the current boot of the machine; empty if it is not known
     * @param wallSeconds the current time of the wall clock, in seconds since 1970
     */
    public RestoredValues restore(
            String startingProxyName, String currentBootId, double wallSeconds) {
        if (!proxyName.equals(startingProxyName)) {
            return new RestoredValues(0, 0, 0, "of another proxy, " + proxyName);
        }
        double ageSeconds = wallSeconds - writtenAt;
        boolean rebooted = bootId.isEmpty() || !bootId.equals(currentBootId);
        // Guards against a clock that has gone back: the age is unknown, so it counts as old.
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
