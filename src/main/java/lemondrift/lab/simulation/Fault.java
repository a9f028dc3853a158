package lemondrift.lab.simulation;

/**
 * A fault of the proxies' processes, or of the channels between them, to the backends or to
 * discovery; any may overlap with any.
 *
 * @param kind what fails
 * @param channel the channel, for a fault between processes
 * @param from whose messages, or which processes
 * @param to to whom the messages go
 * @param bidirectional whether the opposite direction has it too
 * @param startAt when it begins, in seconds from the start of the scenario
 * @param durationSeconds for how many seconds; a process that was killed or stopped is started
 *     again then
 * @param share of the messages that it falls on, 0 to 1
 * @param maxDelaySeconds how many seconds a message is late at the most
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
        /** Nothing gets through; connections stay open at both ends. */
        CUT(false),
        /** A share of the datagrams is lost. */
        LOSE(false),
        /** A share of the messages is delayed. */
        LATE(false),
        /** A share of the datagrams is duplicated. */
        TWICE(false),
        /**
         * A share of the datagrams is delayed by times of their own, so that they are reordered.
         */
        DISORDER(false),
        /** Datagrams that no proxy sent: random bytes, absurd lengths, foreign senders. */
        JUNK(false),
        /** Processes get SIGKILL at one instant and are started again when it is over. */
        KILL(true),
        /** Processes get SIGTERM and are started again when it is over. */
        STOP(true),
        /** Processes get SIGSTOP, and SIGCONT when it is over. */
        PAUSE(true),
        /** Processes are restarted over its duration, a tenth of them at a time. */
        ROLL(true),
        /**
         * Processes get SIGTERM while clients go on using the connections that they have, and are
         * killed as early as the platform may do so.
         */
        TERMINATE(true),
        /** Processes get SIGHUP, to reload their configuration, several times over its duration. */
        HANG_UP(true),
        /**
         * As {@link #TERMINATE}, with SIGHUP in series just before and just after SIGTERM, which
         * comes twice; and SIGHUP in series at several moments of the start that follows.
         */
        SIGNAL_SERIES(true),
        /**
         * Processes get SIGKILL, are started again when it is over, get SIGTERM during that start,
         * and are started once more.
         */
        INTERRUPTED_START(true);

        private final boolean processFault;

        Kind(boolean processFault) {
            this.processFault = processFault;
        }

        /** Whether it falls on processes; else on a channel between them. */
        public boolean isProcessFault() {
            return processFault;
        }
    }

    /** Channels between processes. */
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
     * @throws IllegalArgumentException where one is missing or out of its range
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
                    "a fault that cannot be: " + kind + " at " + startAt + " s");
        }
    }

    /** Whether it is in effect at a time, in seconds from the start of the scenario. */
    public boolean isActiveAt(double now) {
        return now >= startAt && now < startAt + durationSeconds;
    }
}
