package lemondrift.model;

import java.util.List;
import java.util.Objects;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/**
 * What a deployment's settings say; costs and shares are fractions.
 *
 * @param proxyCount how many proxies share the backends
 * @param locationCount how many zones there are
 * @param location the zone of this proxy
 * @param pollsEndpointList whether the endpoint list must be asked for; else it is pushed
 * @param requestClasses by index; null where no class stands at it any more
 * @param tenantQuotaPerSecond by tenant: the requests a second that all proxies together owe it
 * @param overQuotaWeight what the priority of a tenant beyond its quota is multiplied by
 * @param clientsMarkRetries whether clients mark a request that is not their first try
 * @param usesEndpointWeights whether the weights of the endpoint list count
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

    /** Those whose endpoint lists give no weights that count. */
    public Settings(
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
            Costs costs) {
        this(
                proxyCount,
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
                false);
    }

    /** The request classes that the settings name now. */
    public Stream<RequestClass> activeClasses() {
        return requestClasses.stream().filter(Objects::nonNull);
    }

    /**
     * The span that the decisions count in: the shortest latency objective, in seconds; 1 where
     * there is no class.
     */
    public double windowSeconds() {
        return activeClasses().mapToDouble(RequestClass::latencyObjectiveSeconds).min().orElse(1);
    }

    /** What a probe costs, as a share of a request; infinite where none is allowed. */
    public double probeCost() {
        return limits.canProbe ? costs.probe : Double.POSITIVE_INFINITY;
    }

    /** The priority weights of the request classes. */
    public DoubleStream priorityWeights() {
        return activeClasses().mapToDouble(RequestClass::priorityWeight);
    }

    /** A class's priority weight as a share (0 to 1) of the highest. */
    public double relativePriority(RequestClass requestClass) {
        return requestClass.priorityWeight() / priorityWeights().max().orElse(1);
    }

    /** What a request of the class at an index arrives under now. */
    public RequestTerms termsFor(int requestClass) {
        return new RequestTerms(requestClasses.get(requestClass), limits.maxAttempts);
    }

    /**
     * These after a reload: what may change while the process runs is taken from the new settings,
     * with the request classes at the indexes given.
     */
    public Settings reloaded(Settings newSettings, List<RequestClass> classesByIndex) {
        return new Settings(
                newSettings.proxyCount,
                locationCount,
                location,
                pollsEndpointList,
                classesByIndex,
                tenantQuotaPerSecond,
                newSettings.overQuotaWeight,
                newSettings.clientsMarkRetries,
                loadReports,
                newSettings.limits,
                newSettings.rules,
                newSettings.costs,
                usesEndpointWeights);
    }

    /** The same for a proxy in another zone. */
    public Settings withLocation(int location) {
        return withProxyCountAndLocation(proxyCount, location);
    }

    /** The same for one of several processes that share one proxy's traffic and budgets. */
    public Settings dividedAmong(int processes) {
        return withProxyCountAndLocation(proxyCount * processes, location);
    }

    private Settings withProxyCountAndLocation(int proxyCount, int location) {
        return new Settings(
                proxyCount,
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

    /**
     * Where load reports come from, and at which place of a report each field stands; below 0 where
     * it is not given.
     *
     * @param inResponses whether responses carry them
     * @param utilizationField the share of time that the backend was busy
     * @param inFlightField the requests that it holds
     * @param countsAnsweredRequest whether a response's report still counts the request answered
     * @param requestRateField the requests a second that it answers
     */
    public record LoadReports(
            boolean inResponses,
            int utilizationField,
            int inFlightField,
            boolean countsAnsweredRequest,
            int requestRateField) {
        /** The field of a report at a place; 0 where there is none. */
        public static double fieldOrZero(double[] loadReport, int position) {
            return position >= 0 && loadReport != null && position < loadReport.length
                    ? loadReport[position]
                    : 0;
        }
    }

    /**
     * What this proxy may do.
     *
     * @param canCancel whether attempts in flight may be cancelled
     * @param canProbe whether backends may be asked for a load report
     * @param maxAttempts how many attempts a request may have
     * @param maxRetryAfterSeconds the longest retry-after that a rejection may name
     */
    public record Limits(
            boolean canCancel, boolean canProbe, int maxAttempts, double maxRetryAfterSeconds) {}

    /**
     * What backends and the endpoint list bear.
     *
     * @param slowStartMinShare the share (0 to 1) of its capacity that a backend starts with
     * @param slowStartSeconds after which it has all of it
     * @param overloadFactor times its present capacity a warming backend bears
     * @param overloadWindowSeconds within which that is counted
     * @param pollWithinSeconds within which the endpoint list must be asked for
     */
    public record Rules(
            double slowStartMinShare,
            double slowStartSeconds,
            double overloadFactor,
            double overloadWindowSeconds,
            double pollWithinSeconds) {}

    /**
     * Costs as a share of what a request of mean priority is worth.
     *
     * @param crossZone of sending a request to another zone
     * @param probe of asking a backend for a load report
     */
    public record Costs(double crossZone, double probe) {}
}
