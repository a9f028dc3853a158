package lemondrift.model;

import java.util.List;
import java.util.Objects;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/**
 * What a deployment states; times in seconds, charges and shares as fractions. A service grade is
 * null where its index stands for none any more.
 */
public record Settings(
        int proxyCount,
        int locationCount,
        int location,
        boolean pollsEndpointList,
        List<RequestClass> requestClasses,
        double[] tenantQuotaPerSecond,
        double overQuotaWeight,
        boolean clientsMarkRetries,
        LoadReports loadReports,
        Limits limits,
        Rules rules,
        Costs costs,
        boolean usesEndpointWeights) {

    /** The grades that are stated now. */
    public Stream<RequestClass> activeClasses() {
        return requestClasses.stream().filter(Objects::nonNull);
    }

    /** The window of the design page, which is the shortest contract time. */
    public double windowSeconds() {
        return activeClasses().mapToDouble(RequestClass::latencyObjectiveSeconds).min().orElse(1);
    }

    /** What a probe costs, as a share of an exchange; infinite where none is allowed. */
    public double probeCost() {
        return limits.canProbe ? costs.probe : Double.POSITIVE_INFINITY;
    }

    public DoubleStream priorityWeights() {
        return activeClasses().mapToDouble(RequestClass::priorityWeight);
    }

    /** A grade's benefit as a share of the most that one is stated to have. */
    public double relativePriority(RequestClass requestClass) {
        return requestClass.priorityWeight() / priorityWeights().max().orElse(1);
    }

    /** What an exchange of a grade comes under now. */
    public RequestTerms termsFor(int requestClass) {
        return new RequestTerms(requestClasses.get(requestClass), limits.maxAttempts);
    }

    /**
     * What another statement changes of this one while it holds, with grades under these indexes.
     */
    public Settings reloaded(Settings to, List<RequestClass> indexed) {
        return new Settings(
                to.proxyCount,
                locationCount,
                location,
                pollsEndpointList,
                indexed,
                tenantQuotaPerSecond,
                to.overQuotaWeight,
                to.clientsMarkRetries,
                loadReports,
                to.limits,
                to.rules,
                to.costs,
                usesEndpointWeights);
    }

    /** The same for a proxy that stands in another location. */
    public Settings inLocation(int place) {
        return new Settings(
                proxyCount,
                locationCount,
                place,
                pollsEndpointList,
                requestClasses,
                tenantQuotaPerSecond,
                overQuotaWeight,
                clientsMarkRetries,
                loadReports,
                limits,
                rules,
                costs,
                usesEndpointWeights);
    }

    /**
     * The same where each proxy is so many processes, with the work and the budgets of one
     * together.
     */
    public Settings dividedAmong(int processes) {
        return new Settings(
                proxyCount * processes,
                locationCount,
                location,
                pollsEndpointList,
                requestClasses,
                tenantQuotaPerSecond,
                overQuotaWeight,
                clientsMarkRetries,
                loadReports,
                limits,
                rules,
                costs,
                usesEndpointWeights);
    }

    /** The same where lists tell no sizes that hold. */
    public Settings(
            int balancers,
            int locations,
            int location,
            boolean listOnRequest,
            List<RequestClass> grades,
            double[] tenantQuota,
            double excessBenefit,
            boolean marksRetries,
            LoadReports reports,
            Limits limits,
            Rules rules,
            Costs charges) {
        this(
                balancers,
                locations,
                location,
                listOnRequest,
                grades,
                tenantQuota,
                excessBenefit,
                marksRetries,
                reports,
                limits,
                rules,
                charges,
                false);
    }

    /**
     * Load reports: where they come from, and at which place each figure stands (-1: not given).
     * Where the exchanges held are all those in work, an answer's report still counts the one that
     * it answers.
     */
    public record LoadReports(
            boolean inResponses,
            int utilizationField,
            int inFlightField,
            boolean countsAnsweredRequest,
            int requestRateField) {
        /** The figure of a report at a place; 0 where there is none. */
        public static double field(double[] loadReport, int place) {
            return place >= 0 && loadReport != null && place < loadReport.length
                    ? loadReport[place]
                    : 0;
        }
    }

    public record Limits(
            boolean canCancel, boolean canProbe, int maxAttempts, double maxRetryAfterSeconds) {}

    public record Rules(
            double slowStartMinShare,
            double slowStartSeconds,
            double overloadFactor,
            double overloadWindowSeconds,
            double pollWithinSeconds) {}

    public record Costs(double crossZone, double probe) {}
}
