package lemondrift.model;

/**
 * One request that a proxy has accepted and must answer. What is not final is the decisions' own
 * state of it.
 */
public final class Request {
    /** In {@link #bestBackend}: no backend may take the request. */
    public static final int NO_BACKEND = -1;

    public final long id;

    /** The index of its request class. */
    public final int requestClassIndex;

    /** The index of its tenant. */
    public final int tenant;

    public final double arrivedAt;

    /** When its client stops waiting. */
    public final double deadline;

    /** Whether its client says that this is not its first try. */
    public final boolean markedRetry;

    /** What it arrived under; set by whoever read it, or when it arrives. */
    public RequestTerms terms;

    /** Whether it has its final answer or its client has left. */
    public boolean completed;

    /** Whether the first bytes of a response have gone to the client. */
    public boolean responseStarted;

    /** How many attempts were made. */
    public int attemptCount;

    /** How many of them have not ended. */
    public int attemptsInFlight;

    /** The first attempt that may have been executed; null where none may. */
    public Attempt possiblyExecuted;

    /** The latest attempt; null before the first. */
    public Attempt latestAttempt;

    /** After this no attempt is made, and attempts in flight time out. */
    public double attemptDeadline;

    /** The backend of the lowest estimate, or {@link #NO_BACKEND}. */
    public int bestBackend;

    /** The backends last probed for its sake. */
    public int[] probedBackends;

    /** Until when it waits for those probes. */
    public double probeWaitUntil;

    /** How many rounds of probes the next attempt has waited for. */
    public int probeRounds;

    /** How often backends outside the subset were drawn for the next attempt. */
    public int subsetRedraws;

    /** Why it was rejected or failed; null where it was not. */
    public FailureReason failureReason;

    /**
     * One that is not marked as a retry.
     *
     * @param secondsLeft how long its client waits, counted from its arrival
     */
    public Request(long id, int requestClass, int tenant, double arrivedAt, double secondsLeft) {
        this(id, requestClass, tenant, arrivedAt, secondsLeft, false);
    }

    /**
     * A request that has just arrived.
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
}
