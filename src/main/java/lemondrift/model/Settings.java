package lemondrift.model;

import java.util.List;

/** What a deployment states at start; times in seconds, charges and shares as fractions. */
public record Settings(int balancers, int locations, int location, boolean listOnRequest,
        List<ServiceGrade> grades, double[] tenantQuota, double excessBenefit, boolean marksRetries,
        Reports reports, Limits limits, Rules rules, Charges charges, boolean sizes) {

    /** The same where lists tell no sizes that hold. */
    public Settings(int balancers, int locations, int location, boolean listOnRequest,
            List<ServiceGrade> grades, double[] tenantQuota, double excessBenefit, boolean marksRetries,
            Reports reports, Limits limits, Rules rules, Charges charges) {
        this(balancers, locations, location, listOnRequest, grades, tenantQuota, excessBenefit, marksRetries,
                reports, limits, rules, charges, false);
    }

    /**
     * Load reports: where they come from, and at which place each figure stands (-1: not given). Where the
     * exchanges held are all those in work, an answer's report still counts the one that it answers.
     */
    public record Reports(boolean inAnswers, int utilisation, int held, boolean countsAnswered, int rate) {}

    public record Limits(boolean cancel, boolean probes, int forwards,
            double retryAfter) {}

    public record Rules(double coldFrom, double cold, double fallMultiple, double fallWindow,
            double askWithin) {}

    public record Charges(double crossing, double probe) {}
}
