package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.Decision;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;

/**
 * Rejects requests that are not expected to be answered in time, the lowest priority first.
 *
 * <p>A request is rejected at once, with WAIT_TOO_LONG, if the expected wait at the best backend
 * ({@link WaitEstimator}, seconds) exceeds its limit: a share of the time until its attempt
 * deadline (at most {@link BackendTable#memorySeconds}). The rest of that time is left for the work
 * on the request itself. The share rises with priority from {@link #MIN_WAIT_SHARE}, or {@link
 * #MIN_WAIT_SHARE_WITH_GOSSIP} if peers gossip and waits are better known, to {@link
 * #MAX_WAIT_SHARE}. If reports are stale, the time is limited to {@link #MAX_QUEUED_REQUESTS}
 * service times instead, because a queue that grows unnoticed slows the backend for all proxies.
 * The priority of a tenant that exceeds its quota is multiplied by the setting overQuotaWeight.
 * Before a request is rejected, backends outside the subset are tried once.
 *
 * <p>If no backend is eligible, or if the eligible ones are reserved for higher priorities ({@link
 * BackendSelector}), the wait is infinite and the reason is NO_BACKEND or, for a retry,
 * NO_BACKEND_FOR_RETRY. The Retry-After of the reply is the expected wait, at most one window and
 * at most the setting maxRetryAfterSeconds.
 */
final class AdmissionControl extends DecisionStage {
    /** The share of its time that a request of priority 0 may wait. */
    private static final double MIN_WAIT_SHARE = 0.4;

    /**
     * The share of its time that a request of priority 0 may wait if other proxies gossip about
     * their requests in flight.
     */
    private static final double MIN_WAIT_SHARE_WITH_GOSSIP = 0.2;

    /** The share of its time that a request of the highest priority may wait. */
    private static final double MAX_WAIT_SHARE = 0.65;

    /**
     * If reports are stale, the share is taken of the service time of at most this many requests.
     */
    private static final double MAX_QUEUED_REQUESTS = 3;

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final ServiceTimeEstimator serviceTimes;
    private final WaitEstimator waits;
    private final BackendSelector selector;

    /** By tenant: its quota in requests per second, over all proxies together. */
    private final double[] quotaPerSecond;

    /** By tenant: the requests per second that this proxy has received. */
    private final DecayingSum[] tenantRate;

    AdmissionControl(
            BackendTable backends,
            UtilizationEstimator estimator,
            ServiceTimeEstimator serviceTimes,
            WaitEstimator waits,
            BackendSelector selector) {
        this.backends = backends;
        this.estimator = estimator;
        this.serviceTimes = serviceTimes;
        this.waits = waits;
        this.selector = selector;
        quotaPerSecond = backends.settings.tenantQuotaPerSecond();
        tenantRate = new DecayingSum[quotaPerSecond.length];
        Arrays.setAll(tenantRate, tenant -> new DecayingSum());
    }

    @Override
    void offer(Request request, double now, Decision decision) {
        if (selector.rankAndProbe(request, now, decision)) {
            return;
        }
        double priority = effectivePriority(request, now);
        boolean hasBackend = request.bestBackend != Request.NO_BACKEND;
        double wait =
                hasBackend
                        ? waits.expectedWait(request.bestBackend, now)
                        : Double.POSITIVE_INFINITY;
        boolean waitTooLong = wait > maxWaitSeconds(request, priority, now);
        if (!waitTooLong) {
            super.offer(request, now, decision);
        } else if (selector.widenSubset(request, now)) {
            offer(request, now, decision);
        } else {
            replyLocally(
                    request,
                    hasBackend ? FailureReason.WAIT_TOO_LONG : noBackendReason(request),
                    Math.min(wait, backends.windowSeconds),
                    decision);
        }
    }

    private static FailureReason noBackendReason(Request request) {
        return request.attemptCount == 0
                ? FailureReason.NO_BACKEND
                : FailureReason.NO_BACKEND_FOR_RETRY;
    }

    /**
     * Returns the priority of the request, from 0 to 1, multiplied by the setting overQuotaWeight
     * if the tenant exceeds this proxy's part of its quota. Counts the request for its tenant when
     * it is offered for the first time.
     */
    private double effectivePriority(Request request, double now) {
        Settings settings = backends.settings;
        double priority = settings.relativePriority(request.terms.requestClass());
        if (request.tenant >= quotaPerSecond.length) {
            return priority;
        }
        boolean firstOffer = request.attemptCount + request.subsetRedraws == 0;
        DecayingSum rate = tenantRate[request.tenant];
        rate.timeConstantSeconds = backends.memorySeconds;
        rate.add(firstOffer ? 1 / backends.memorySeconds : 0, now);
        double quota = quotaPerSecond[request.tenant] / settings.proxyCount();
        return priority * (rate.value(now) > quota ? settings.overQuotaWeight() : 1);
    }

    /** Returns how long the request may wait before work on it begins, in seconds. */
    private double maxWaitSeconds(Request request, double priority, double now) {
        double maxSeconds = backends.memorySeconds;
        if (estimator.reportsAreStale()) {
            maxSeconds =
                    request.bestBackend == Request.NO_BACKEND
                            ? 0
                            : MAX_QUEUED_REQUESTS
                                    * serviceTimes.serviceTimeSeconds(request.bestBackend, now);
        }
        return maxWaitShare(priority) * Math.min(request.attemptDeadline - now, maxSeconds);
    }

    /** Returns the share of its time that a request may wait, by its priority. */
    private double maxWaitShare(double priority) {
        double minShare = estimator.gossipActive ? MIN_WAIT_SHARE_WITH_GOSSIP : MIN_WAIT_SHARE;
        return minShare + (MAX_WAIT_SHARE - minShare) * Math.min(1, priority);
    }

    /**
     * Returns the threshold below which requests of a class would be rejected now. Sends no probe
     * and does not affect later decisions.
     *
     * @param request a request of the class, which is not offered
     */
    ShedThreshold shedThreshold(Request request, double now) {
        double wait = selector.minExpectedWait(request, now);
        double priority = backends.settings.relativePriority(request.terms.requestClass());
        return new ShedThreshold(
                wait / maxWaitShare(priority), Math.min(wait, backends.windowSeconds));
    }
}
