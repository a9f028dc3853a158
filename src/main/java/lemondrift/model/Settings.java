package lemondrift.model;

import java.util.List;
import java.util.Objects;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/**
 * What a deployment states; times in seconds, charges and shares as fractions. A service grade is null where
 * its index stands for none any more.
 */
public record Settings(int balancers, int locations, int location, boolean listOnRequest,
        List<RequestClass> grades, double[] tenantQuota, double excessBenefit, boolean marksRetries,
        Reports reports, Limits limits, Rules rules, Charges charges, boolean sizes) {

    /** The grades that are stated now. */
    public Stream<RequestClass> live() {
        return grades.stream().filter(Objects::nonNull);
    }

    /** The window of the design page, which is the shortest contract time. */
    public double window() {
        return live().mapToDouble(RequestClass::contractTime).min().orElse(1);
    }

    /** What a probe costs, as a share of an exchange; infinite where none is allowed. */
    public double probeCharge() {
        return limits.probes ? charges.probe : Double.POSITIVE_INFINITY;
    }

    public DoubleStream benefits() {
        return live().mapToDouble(RequestClass::benefit);
    }

    /** A grade's benefit as a share of the most that one is stated to have. */
    public double rank(RequestClass grade) {
        return grade.benefit() / benefits().max().orElse(1);
    }

    /** What an exchange of a grade comes under now. */
    public RequestTerms terms(int grade) {
        return new RequestTerms(grades.get(grade), limits.forwards);
    }

    /** What another statement changes of this one while it holds, with grades under these indexes. */
    public Settings retuned(Settings to, List<RequestClass> indexed) {
        return new Settings(to.balancers, locations, location, listOnRequest, indexed, tenantQuota,
                to.excessBenefit, to.marksRetries, reports, to.limits, to.rules, to.charges, sizes);
    }

    /** The same for a proxy that stands in another location. */
    public Settings at(int place) {
        return new Settings(balancers, locations, place, listOnRequest, grades, tenantQuota, excessBenefit,
                marksRetries, reports, limits, rules, charges, sizes);
    }

    /** The same where each proxy is so many processes, with the work and the budgets of one together. */
    public Settings sharedBy(int processes) {
        return new Settings(balancers * processes, locations, location, listOnRequest, grades, tenantQuota,
                excessBenefit, marksRetries, reports, limits, rules, charges, sizes);
    }

    /** The same where lists tell no sizes that hold. */
    public Settings(int balancers, int locations, int location, boolean listOnRequest,
            List<RequestClass> grades, double[] tenantQuota, double excessBenefit, boolean marksRetries,
            Reports reports, Limits limits, Rules rules, Charges charges) {
        this(balancers, locations, location, listOnRequest, grades, tenantQuota, excessBenefit, marksRetries,
                reports, limits, rules, charges, false);
    }

    /**
     * Load reports: where they come from, and at which place each figure stands (-1: not given). Where the
     * exchanges held are all those in work, an answer's report still counts the one that it answers.
     */
    public record Reports(boolean inAnswers, int utilisation, int held, boolean countsAnswered, int rate) {
        /** The figure of a report at a place; 0 where there is none. */
        public static double figure(double[] report, int place) {
            return place >= 0 && report != null && place < report.length ? report[place] : 0;
        }
    }

    public record Limits(boolean cancel, boolean probes, int forwards,
            double retryAfter) {}

    public record Rules(double coldFrom, double cold, double fallMultiple, double fallWindow,
            double askWithin) {}

    public record Charges(double crossing, double probe) {}
}
