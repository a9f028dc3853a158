package lemondrift.lab.simulation;

/**
 * A fault of the proxies' processes, or of the channels between proxies, to the backends or from
 * discovery. Faults may overlap.
 *
 * @param kind the kind of fault
 * @param channel the affected channel, for a fault of a channel
 * @param from the senders whose messages are affected, or the affected processes
 * @param to the receivers of the affected messages
 * @param bidirectional whether the opposite direction is affected too
 * @param startAt start time, in seconds from the start of the scenario
 * @param durationSeconds duration in seconds, over 0; at its end a process that was killed or
 *     stopped is started again
 * @param share share of the messages that are affected, 0 to 1
 * @param maxDelaySeconds maximum delay of a message, in seconds
 */
public record Fault(
        Kind kind,
        Channel channel,
        FaultTarget from,
        FaultTarget to,
        boolean bidirectional,
        double startAt,
        double durationSeconds,
        double share,
        double maxDelaySeconds) {
    /** Kinds of fault. */
    public enum Kind {
        /** No data gets through; connections stay open at both ends. */
        CUT(false),
        /** A share of the datagrams is lost. */
        LOSE(false),
        /** A share of the messages is delayed. */
        LATE(false),
        /** A share of the datagrams is duplicated. */
        TWICE(false),
        /**
         * A share of the datagrams is delayed, each by a different time, so that they are
         * reordered.
         */
        DISORDER(false),
        /**
         * Proxies receive datagrams that no proxy sent: random bytes, invalid lengths, unknown
         * senders.
         */
        JUNK(false),
        /** Processes get SIGKILL at the same time and are started again when the fault ends. */
        KILL(true),
        /** Processes get SIGTERM and are started again when the fault ends. */
        STOP(true),
        /** Processes get SIGSTOP, and SIGCONT when the fault ends. */
        PAUSE(true),
        /** Processes are restarted over the duration, a tenth of them at a time. */
        ROLL(true),
        /**
         * Processes get SIGTERM while clients continue to use their open connections, and are
         * killed at the earliest time at which the platform may kill them.
         */
        TERMINATE(true),
        /** Processes get SIGHUP, to reload their configuration, several times over the duration. */
        HANG_UP(true),
        /**
         * Like {@link #TERMINATE}, but with a series of SIGHUP just before and just after SIGTERM,
         * which is sent twice, and with a series of SIGHUP at several times during the following
         * start.
         */
        SIGNAL_SERIES(true),
        /**
         * Processes get SIGKILL, are started again when the fault ends, get SIGTERM during that
         * start, and are started once more.
         */
        INTERRUPTED_START(true);

        private final boolean processFault;

        Kind(boolean processFault) {
            this.processFault = processFault;
        }

        /** Returns whether the fault affects processes; if not, it affects a channel. */
        public boolean isProcessFault() {
            return processFault;
        }
    }

    /** Channels on which messages can be affected. */
    public enum Channel {
        /** Gossip between proxies. */
        DATAGRAMS,
        /** From proxies to backends. */
        BACKENDS,
        /** From discovery to proxies. */
        DISCOVERY
    }

    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException if a field is missing or out of its range
     */
    public Fault {
        if (kind == null
                || channel == null
                || from == null
                || to == null
                || !(startAt >= 0)
                || !(durationSeconds > 0)
                || !(share >= 0 && share <= 1)
                || !(maxDelaySeconds >= 0)) {
            throw new IllegalArgumentException(
                    "invalid fault: "
                            + kind
                            + " on "
                            + channel
                            + " from "
                            + from
                            + " to "
                            + to
                            + " at "
                            + startAt
                            + " s for "
                            + durationSeconds
                            + " s, share "
                            + share
                            + ", delay "
                            + maxDelaySeconds
                            + " s: the start and the delay must not be negative, the duration must"
                            + " be over 0 s, the share from 0 to 1, and no other field may be"
                            + " missing");
        }
    }

    /** Returns whether the fault is active at a time, in seconds from the start of the scenario. */
    public boolean isActiveAt(double now) {
        return now >= startAt && now < startAt + durationSeconds;
    }
}
