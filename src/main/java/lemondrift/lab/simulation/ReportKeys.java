package lemondrift.lab.simulation;

/** Keys of reports that differ from the terms in the code; docs/glossary.md maps them. */
public final class ReportKeys {
    /** Requests that got a successful response. */
    public static final String SUCCEEDED = "delivered";

    /** Requests that a proxy failed with a local reply. */
    public static final String FAILED = "scrapped";

    /** Requests that a proxy rejected with a local reply. */
    public static final String REJECTED = "shed";

    private ReportKeys() {}
}
