package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.Decision;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import lemondrift.model.ShedThreshold;

/** Overload: sheds at once what can no longer be answered in time, the least benefit first. */
final class AdmissionControl extends DecisionStage {
    /**
     * The shares of its contract time that one of no benefit, the same where waits are told, and
     * one of most may wait, not work; and of how many exchanges' work where reports are old: longer
     * queues slow all.
     */
    private static final double LEAST_SHARE = 0.4;

    private static final double TOLD_SHARE = 0.2;
    private static final double MOST_SHARE = 0.65;
    private static final double CROWD = 3;

    private final BackendSelector selector;
    private final UtilizationEstimator estimator;
    private final double[] quota;
    private final DecayingSum[] used;
    private final BackendTable backends;

    AdmissionControl(
            BackendTable backends, UtilizationEstimator estimator, BackendSelector selector) {
        this.backends = backends;
        this.estimator = estimator;
        this.selector = selector;
        quota = backends.stated.tenantQuotaPerSecond();
        used = new DecayingSum[quota.length];
        Arrays.setAll(used, tenant -> new DecayingSum());
    }

    @Override
    void offer(Request request, double now, Decision decision) {
        if (selector.asks(request, now, decision)) {
            return;
        }
        double rank = backends.stated.relativePriority(request.terms.requestClass());
        if (request.tenant < quota.length) {
            used[request.tenant].span = estimator.memory;
            used[request.tenant].add(
                    request.attemptCount + request.subsetRedraws == 0 ? 1 / estimator.memory : 0,
                    now);
            double share = quota[request.tenant] / backends.stated.proxyCount();
            rank *= used[request.tenant].at(now) > share ? backends.stated.overQuotaWeight() : 1;
        }
        double wait = selector.expectedWait(request, now);
        double most = CROWD * estimator.workTime(request.bestBackend, now);
        double limit =
                share(rank)
                        * Math.min(
                                request.attemptDeadline - now,
                                estimator.old() ? most : estimator.memory);
        if (wait > limit && selector.drawsOthers(request, now)) {
            offer(request, now, decision);
        } else if (wait > limit) {
            request.failureReason =
                    request.bestBackend < 0
                            ? FailureReason.NO_BACKEND
                            : FailureReason.WAIT_TOO_LONG;
            giveUp(request, Math.min(wait, estimator.window), now, decision);
        } else {
            super.offer(request, now, decision);
        }
    }

    private double share(double rank) {
        double least = estimator.othersHeard ? TOLD_SHARE : LEAST_SHARE;
        return least + (MOST_SHARE - least) * Math.min(1, rank);
    }

    /** What it would shed of a grade now, without asking or drawing anybody; changes nothing. */
    ShedThreshold word(Request request, double now) {
        double wait = selector.leastWait(request, now);
        return new ShedThreshold(
                wait / share(backends.stated.relativePriority(request.terms.requestClass())),
                Math.min(wait, estimator.window));
    }
}
