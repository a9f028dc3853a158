package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.*;

/** Overload: sheds at once what can no longer be answered in time, the least benefit first. */
final class AdmissionControl extends DecisionStage {
    /** The shares of its contract time that one of no benefit, the same where waits are told, and one of most
     * may wait, not work; and of how many exchanges' work where reports are old: longer queues slow all. */
    private static final double LEAST_SHARE = 0.4, TOLD_SHARE = 0.2, MOST_SHARE = 0.65, CROWD = 3;

    private final BackendSelector selection;
    private final UtilizationEstimator estimate;
    private final double[] quota;
    private final DecayingSum[] used;
    private final BackendTable fleet;

    AdmissionControl(BackendTable fleet, UtilizationEstimator estimate, BackendSelector selection) {
        this.fleet = fleet;
        this.estimate = estimate;
        this.selection = selection;
        quota = fleet.stated.tenantQuota();
        used = new DecayingSum[quota.length];
        Arrays.setAll(used, tenant -> new DecayingSum());
    }

    @Override
    void offer(Request x, double now, Decision turn) {
        if (selection.asks(x, now, turn)) {
            return;
        }
        double rank = fleet.stated.rank(x.terms.grade());
        if (x.tenant < quota.length) {
            used[x.tenant].span = estimate.memory;
            used[x.tenant].add(x.forwards + x.draws == 0 ? 1 / estimate.memory : 0, now);
            double share = quota[x.tenant] / fleet.stated.balancers();
            rank *= used[x.tenant].at(now) > share ? fleet.stated.excessBenefit() : 1;
        }
        double wait = selection.expectedWait(x, now), most = CROWD * estimate.workTime(x.best, now);
        double limit = share(rank) * Math.min(x.contract - now, estimate.old() ? most : estimate.memory);
        if (wait > limit && selection.drawsOthers(x, now)) {
            offer(x, now, turn);
        } else if (wait > limit) {
            x.ending = x.best < 0 ? FailureReason.NO_BACKEND : FailureReason.WAIT_TOO_LONG;
            giveUp(x, Math.min(wait, estimate.window), now, turn);
        } else {
            super.offer(x, now, turn);
        }
    }

    private double share(double rank) {
        double least = estimate.othersHeard ? TOLD_SHARE : LEAST_SHARE;
        return least + (MOST_SHARE - least) * Math.min(1, rank);
    }

    /** What it would shed of a grade now, without asking or drawing anybody; changes nothing. */
    ShedThreshold word(Request x, double now) {
        double wait = selection.leastWait(x, now);
        return new ShedThreshold(wait / share(fleet.stated.rank(x.terms.grade())), Math.min(wait, estimate.window));
    }
}
