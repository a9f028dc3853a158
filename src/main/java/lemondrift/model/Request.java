package lemondrift.model;

/**
 * One exchange a proxy has taken and owes an answer. The fields below are the decisions' own notes
 * on it.
 */
public final class Request {
    /** In {@link #bestBackend}: no backend may take the request. */
    public static final int NO_BACKEND = -1;

    public final long id;
    public final int requestClass;
    public final int tenant;
    public final double arrivedAt;
    public final double deadline;

    /** Its client has said that this is not its first try. */
    public final boolean markedRetry;

    /** What it came under; set by whoever read it, or when it arrives. */
    public RequestTerms terms;

    public boolean completed;
    public boolean responseStarted;
    public int attemptCount;
    public int attemptsInFlight;
    public Attempt possiblyExecuted;
    public Attempt latestAttempt;
    public double attemptDeadline;

    /**
     * The least estimated backend, the asked on its behalf, until when it is kept, and how often
     * each.
     */
    public int bestBackend;

    public int[] probedBackends;
    public double probeWaitUntil;
    public int probeRounds;
    public int subsetRedraws;

    /** Why it was rejected or failed; null where it was not. */
    public FailureReason failureReason;

    public Request(long id, int requestClass, int tenant, double arrived, double timeLeft) {
        this(id, requestClass, tenant, arrived, timeLeft, false);
    }

    public Request(
            long id, int requestClass, int tenant, double arrived, double timeLeft, boolean retry) {
        this.id = id;
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.arrivedAt = arrived;
        this.deadline = arrived + timeLeft;
        this.markedRetry = retry;
    }
}
