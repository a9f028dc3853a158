package lemondrift.recovery;

/**
 * What a proxy keeps over its end, where a disk lasts.
 *
 * @param name the proxy's name; a snapshot of another one is none
 * @param boot what tells one run of the machine from the next, empty where that is not known
 * @param start its start number, which the next start has to pass
 * @param at when it was written, in seconds since 1970 by a wall clock that may be wrong
 * @param work mean work of an exchange in seconds, 0 where it is not known
 * @param answers of how many answers that is the mean
 */
public record Snapshot(String name, String boot, long start, double at, double work, int answers) {
    /** For how long, in seconds, a mean of the work counts as much as when it was written. */
    private static final double LONG = 24 * 3600;

    public Snapshot {
        if (name == null
                || boot == null
                || start < 0
                || !(work >= 0)
                || work == Double.POSITIVE_INFINITY
                || answers < 0
                || (work == 0) != (answers == 0)) {
            throw new IllegalArgumentException("figures that can't be");
        }
    }

    /**
     * What is believed of it at a start.
     *
     * @param above the start number has to be above this
     * @param work mean work of an exchange to go by until others or own answers say more, 0 for
     *     none
     * @param answers as how many answers that counts
     * @param why in words for the log
     */
    public record Trusted(long above, double work, int answers, String why) {
        public static final Trusted NOTHING = new Trusted(0, 0, 0, "no snapshot");
    }

    /**
     * What is believed of it by a proxy of a name, at a time of a wall clock, in a run of the
     * machine.
     */
    public Trusted trusted(String its, String thisBoot, double wall) {
        if (!name.equals(its)) {
            return new Trusted(0, 0, 0, "of another proxy, " + name);
        }
        double age = wall - at;
        boolean rebooted = boot.isEmpty() || !boot.equals(thisBoot);
        // Danger: a clock that has gone back tells no age, and then the figure is one of any age.
        boolean old = !(age >= 0 && age <= LONG);
        return new Trusted(
                start,
                work,
                old || rebooted ? Math.min(1, answers) : answers,
                age < 0
                        ? "from later than now: the clock has gone back"
                        : old
                                ? "over a day old"
                                : rebooted
                                        ? "of an earlier run of the machine"
                                        : "of this run of the machine");
    }
}
