package lemondrift.model;

/**
 * One request that a proxy has accepted and must answer. The fields that are not final hold the
 * balancer's state of the request.
 */
public final class Request {
    /** In {@link #bestBackend}: no backend may be given the request now. */
    public static final int NO_BACKEND = -1;

    /**
     * Seconds for which the process may be held up between reading its clock and writing. Guards
     * against a repeat that reaches its backend when the key is forgotten.
     */
    public static final double MAX_SEND_DELAY_SECONDS = 0.15;

    public final long id;

    /** The index of its request class. */
    public final int requestClassIndex;

    /** The index of its tenant. */
    public final int tenant;

    public final double arrivedAt;

    /** When its client stops waiting, in seconds. */
    public final double deadline;

    /** Whether its client marked it as a retry. */
    public final boolean markedRetry;

    /**
     * The terms under which it arrived. Set by the code that read the request, otherwise by the
     * balancer on arrival.
     */
    public RequestTerms terms;

    /** Whether it has its final answer or its client has left. */
    public boolean completed;

    /** Whether the first bytes of a response have gone to the client. */
    public boolean responseStarted;

    /** The number of attempts made. */
    public int attemptCount;

    /** The number of attempts that have not ended. */
    public int attemptsInFlight;

    /** The first attempt that may have been executed; null if there is none. */
    public Attempt possiblyExecuted;

    /** The latest attempt; null before the first. */
    public Attempt latestAttempt;

    /** The time in seconds after which no attempt is made and attempts in flight time out. */
    public double attemptDeadline;

    /** The backend with the lowest estimate, or {@link #NO_BACKEND}. */
    public int bestBackend;

    /** The backends last probed for this request. */
    public int[] probedBackends;

    /** Until when it waits for the answers to those probes, in seconds. */
    public double probeWaitUntil;

    /** The number of rounds of probes that the next attempt has waited for. */
    public int probeRounds;

    /** The number of times that backends outside the subset were drawn for the next attempt. */
    public int subsetRedraws;

    /** Why it was rejected or failed; null if it was not. */
    public FailureReason failureReason;

    /**
     * Creates a request that is not marked as a retry.
     *
     * @param secondsLeft how long its client waits, counted from its arrival
     */
    public Request(long id, int requestClass, int tenant, double arrivedAt, double secondsLeft) {
        this(id, requestClass, tenant, arrivedAt, secondsLeft, false);
    }

    /**
     * Creates a request that has just arrived.
     *
     * @param secondsLeft how long its client waits, counted from its arrival
     */
    public Request(
            long id,
            int requestClass,
            int tenant,
            double arrivedAt,
            double secondsLeft,
            boolean markedRetry) {
        this.id = id;
        this.requestClassIndex = requestClass;
        this.tenant = tenant;
        this.arrivedAt = arrivedAt;
        this.deadline = arrivedAt + secondsLeft;
        this.markedRetry = markedRetry;
    }

    /**
     * Returns the time before which the last byte of another attempt must be written, in seconds:
     * infinite unless an attempt may have been executed and backends recognize a repeat of it by
     * its key, which they forget after some time.
     */
    public double repeatableBefore() {
        if (possiblyExecuted == null
                || terms.requestClass().idempotency() != Idempotency.IDEMPOTENT_WITH_KEY) {
            return Double.POSITIVE_INFINITY;
        }
        return possiblyExecuted.sentAt
                + terms.requestClass().idempotencyKeyTtlSeconds()
                - MAX_SEND_DELAY_SECONDS;
    }
}
