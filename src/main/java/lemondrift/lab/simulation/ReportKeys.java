package lemondrift.lab.simulation;

/** Operators' words that reports keep, where the code uses the standard terms; docs/glossary.md. */
public final class ReportKeys {
    /** Requests that were answered successfully. */
    public static final String SUCCEEDED = "delivered";

    /** Requests that were failed with a local reply. */
    public static final String FAILED = "scrapped";

    /** Requests that were rejected with a local reply. */
    public static final String REJECTED = "shed";

    private ReportKeys() {}
}
