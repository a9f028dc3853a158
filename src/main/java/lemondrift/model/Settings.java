package lemondrift.model;

import java.util.List;
import java.util.Objects;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/**
 * The settings of a deployment. Costs and shares are fractions.
 *
 * @param proxyCount the number of proxies that share the backends
 * @param locationCount the number of zones
 * @param location the index of this proxy's zone
 * @param pollsEndpointList whether the endpoint list must be polled; otherwise it is pushed
 * @param requestClasses by index; null at an index that no class has any more
 * @param tenantQuotaPerSecond by tenant: its quota in requests per second, over all proxies
 *     together
 * @param overQuotaWeight the factor by which the priority of a tenant that exceeds its quota is
 *     multiplied
 * @param clientsMarkRetries whether clients mark their retries
 * @param usesEndpointWeights whether the weights in the endpoint list are used
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

    /** Creates settings that do not use the weights in the endpoint list. */
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

    /** Returns the request classes that the settings currently name. */
    public Stream<RequestClass> activeClasses() {
        return requestClasses.stream().filter(Objects::nonNull);
    }

    /**
     * Returns the window, a unit in which the balancer expresses durations: the shortest latency
     * objective, in seconds; 1 if there is no class.
     */
    public double windowSeconds() {
        return activeClasses().mapToDouble(RequestClass::latencyObjectiveSeconds).min().orElse(1);
    }

    /**
     * Returns the cost of a probe as a share of the value of a request; infinite if probes are not
     * allowed.
     */
    public double probeCost() {
        return limits.canProbe ? costs.probe : Double.POSITIVE_INFINITY;
    }

    /** Returns the priority weights of the request classes. */
    public DoubleStream priorityWeights() {
        return activeClasses().mapToDouble(RequestClass::priorityWeight);
    }

    /** Returns the priority weight of a class as a share (0 to 1) of the highest one. */
    public double relativePriority(RequestClass requestClass) {
        return requestClass.priorityWeight() / priorityWeights().max().orElse(1);
    }

    /** Returns the terms under which a request of the class at an index arrives now. */
    public RequestTerms termsFor(int requestClass) {
        return new RequestTerms(requestClasses.get(requestClass), limits.maxAttempts);
    }

    /**
     * Returns these settings after a reload: the values that may change while the process runs are
     * taken from the new settings.
     *
     * @param classesByIndex the request classes of the new settings, each at its index
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

    /** Returns these settings for a proxy in another zone. */
    public Settings withLocation(int location) {
        return withProxyCountAndLocation(proxyCount, location);
    }

    /**
     * Returns these settings for one of several processes that share the traffic and the budgets of
     * one proxy.
     */
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
     * Where load reports come from, and the position of each field in a report; below 0 if the
     * field is not reported.
     *
     * @param inResponses whether responses contain load reports
     * @param utilizationField the position of the share of time that the backend was busy
     * @param inFlightField the position of the number of requests that the backend holds
     * @param countsAnsweredRequest whether the report in a response still counts the request
     *     answered
     * @param requestRateField the position of the number of requests per second that the backend
     *     answers
     */
    public record LoadReports(
            boolean inResponses,
            int utilizationField,
            int inFlightField,
            boolean countsAnsweredRequest,
            int requestRateField) {
        /** Returns the field at a position of a report; 0 if there is none. */
        public static double fieldOrZero(double[] loadReport, int position) {
            return position >= 0 && loadReport != null && position < loadReport.length
                    ? loadReport[position]
                    : 0;
        }
    }

    /**
     * The limits on what this proxy may do.
     *
     * @param canCancel whether attempts in flight may be cancelled
     * @param canProbe whether backends may be probed for a load report
     * @param maxAttempts how many attempts a request may have
     * @param maxRetryAfterSeconds the longest Retry-After that a rejection may contain
     */
    public record Limits(
            boolean canCancel, boolean canProbe, int maxAttempts, double maxRetryAfterSeconds) {}

    /**
     * The load that backends and the endpoint list service can take.
     *
     * @param slowStartMinShare the share (0 to 1) of its capacity that a backend starts with
     * @param slowStartSeconds the time after which a backend has its full capacity
     * @param overloadFactor the multiple of its current capacity that a warming backend can take
     * @param overloadWindowSeconds the time over which that multiple is measured
     * @param pollWithinSeconds the time within which the endpoint list must be polled
     */
    public record Rules(
            double slowStartMinShare,
            double slowStartSeconds,
            double overloadFactor,
            double overloadWindowSeconds,
            double pollWithinSeconds) {}

    /**
     * Costs as a share of the value of a request of mean priority.
     *
     * @param crossZone the cost of sending a request to another zone
     * @param probe the cost of probing a backend for a load report
     */
    public record Costs(double crossZone, double probe) {}
}
