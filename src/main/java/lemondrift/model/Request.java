package lemondrift.model;

/** One exchange a proxy has taken and owes an answer. The fields below are the decisions' own notes on it. */
public final class Request {
    public final long id;
    public final int grade;
    public final int tenant;
    public final double arrived;
    public final double expiry;
    /** Its client has said that this is not its first try. */
    public final boolean retry;
    /** What it came under; set by whoever read it, or when it arrives. */
    public RequestTerms terms;
    public boolean over;
    public boolean begun;
    public int forwards;
    public int out;
    public Attempt mayHaveRun;
    public Attempt latest;
    public double contract;
    /** The least estimated backend, the asked on its behalf, until when it is kept, and how often each. */
    public int best;
    public int[] asked;
    public double keptUntil;
    public int asks, draws;
    /** Why it was rejected or failed; null where it was not. */
    public FailureReason ending;

    public Request(long id, int grade, int tenant, double arrived, double timeLeft) {
        this(id, grade, tenant, arrived, timeLeft, false);
    }

    public Request(long id, int grade, int tenant, double arrived, double timeLeft, boolean retry) {
        this.id = id;
        this.grade = grade;
        this.tenant = tenant;
        this.arrived = arrived;
        this.expiry = arrived + timeLeft;
        this.retry = retry;
    }
}
