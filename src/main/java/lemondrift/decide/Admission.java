package lemondrift.decide;

import java.util.Arrays;
import lemondrift.model.*;

/** Overload: sheds at once what can no longer be answered in time, the least benefit first. */
final class Admission extends Stage {
    /** The shares of its contract time that an exchange of no and of most benefit may wait, not work. */
    private static final double LEAST_SHARE = 0.4, MOST_SHARE = 0.65;

    private final Eligibility eligibility;
    private final Selection selection;
    private final double[] benefit, quota, used;
    private final double excessBenefit, mostBenefit;
    private final boolean byWork;
    private double usedAt;

    Admission(Settings s, Eligibility eligibility, Selection selection) {
        this.eligibility = eligibility;
        this.selection = selection;
        benefit = s.grades().stream().mapToDouble(ServiceGrade::benefit).toArray();
        mostBenefit = Arrays.stream(benefit).max().orElse(1);
        quota = Arrays.stream(s.tenantQuota()).map(q -> q / s.balancers()).toArray();
        used = new double[quota.length];
        byWork = s.benefitByWork();
        excessBenefit = s.excessBenefit();
    }

    @Override
    void offer(Exchange x, double now, Turn turn) {
        double rank = benefit[x.grade] / mostBenefit / (byWork ? 1 : eligibility.relativeWork(x.grade));
        if (x.tenant < quota.length) {
            double kept = selection.faded(usedAt, now);
            Arrays.setAll(used, i -> used[i] * kept);
            usedAt = now;
            used[x.tenant] += x.forwards == 0 ? 1 / selection.memory : 0;
            rank *= used[x.tenant] > quota[x.tenant] ? excessBenefit : 1;
        }
        eligibility.refresh(now);
        double wait = selection.expectedWait(now);
        double limit = (LEAST_SHARE + (MOST_SHARE - LEAST_SHARE) * Math.min(1, rank)) * (x.contract - now);
        if (wait > limit) {
            giveUp(x, wait, now, turn);
        } else {
            super.offer(x, now, turn);
        }
    }
}
