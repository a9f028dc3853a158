package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.Decision;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;

/**
 * Where a request is rejected because no answer is to be expected in time, the lowest priority
 * first.
 *
 * <p>A request is rejected at once, with WAIT_TOO_LONG, when the wait to expect at the best backend
 * ({@link WaitEstimator}, seconds) passes its limit: a share of the time until its attempt deadline
 * (at most {@link BackendTable#memorySeconds}), the rest being room for its own work. The share
 * rises with priority from {@link #MIN_WAIT_SHARE}, or {@link #MIN_WAIT_SHARE_WITH_GOSSIP} where
 * peers gossip and waits are better known, to {@link #MAX_WAIT_SHARE}. Where reports are stale, the
 * same share of {@link #MAX_QUEUED_REQUESTS} service times bounds it as well, since a queue that
 * grows unseen slows the backend for all. The priority of a tenant beyond its quota is scaled by
 * the settings' overQuotaWeight. Before a request is rejected, backends outside the subset are
 * tried once.
 *
 * <p>Where no backend may take it the wait is infinite, and the reason NO_BACKEND or, for a retry,
 * NO_BACKEND_FOR_RETRY. The Retry-After of the reply is the wait, at most a window.
 */
final class AdmissionControl extends DecisionStage {
    /** The share of its time that a request of no priority may wait. */
    private static final double MIN_WAIT_SHARE = 0.4;

    /** The same where other proxies gossip of what they have in flight. */
    private static final double MIN_WAIT_SHARE_WITH_GOSSIP = 0.2;

    /** The share of its time that a request of the highest priority may wait. */
    private static final double MAX_WAIT_SHARE = 0.65;

    /** Where reports are stale: how many requests' work the share is of at the most. */
    private static final double MAX_QUEUED_REQUESTS = 3;

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final ServiceTimeEstimator serviceTimes;
    private final WaitEstimator waits;
    private final BackendSelector selector;

    /** By tenant: the requests a second that all proxies together owe it. */
    private final double[] quotaPerSecond;

    /** By tenant: the requests a second that this proxy has seen. */
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

    /** From 0 to 1, scaled where the tenant has passed this proxy's part of its quota. */
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

    /** How long the request may wait before work on it begins, in seconds. */
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

    /** The share of its time that a request may wait, by its priority. */
    private double maxWaitShare(double priority) {
        double minShare = estimator.gossipActive ? MIN_WAIT_SHARE_WITH_GOSSIP : MIN_WAIT_SHARE;
        return minShare + (MAX_WAIT_SHARE - minShare) * Math.min(1, priority);
    }

    /** What would be rejected now; asks no backend for a report and changes nothing. */
    ShedThreshold shedThreshold(Request request, double now) {
        double wait = selector.minExpectedWait(request, now);
        double priority = backends.settings.relativePriority(request.terms.requestClass());
        return new ShedThreshold(
                wait / maxWaitShare(priority), Math.min(wait, backends.windowSeconds));
    }
}
