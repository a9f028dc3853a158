package lemondrift.balancer;

import java.util.*;
import lemondrift.model.*;

/** Rule 1: one final answer before expiry and nothing sent after it. */
final class RequestDeadlines extends DecisionStage {
    /** After so many tries of a grade, all with less time, the longest time was an odd one's. */
    private static final int ODD = 4;

    /** The time left of a usual first try, by grade, and how many in a row had less. */
    private double[] usual = {}, since = {};
    private final BackendTable fleet;
    private final PriorityQueue<Request> open = new PriorityQueue<>(Comparator.comparing(x -> x.expiry));

    RequestDeadlines(BackendTable fleet) {
        this.fleet = fleet;
        stated(List.of());
    }

    void stated(List<Integer> fresh) {
        usual = Arrays.copyOf(usual, fleet.stated.grades().size());
        since = Arrays.copyOf(since, usual.length);
        fresh.forEach(grade -> usual[grade] = since[grade] = 0);
    }

    /** Takes a new exchange; where a late answer brings nothing, its useful time is the contract time. */
    void take(Request x, double now, Decision turn) {
        RequestClass grade = x.terms.grade();
        double useful = grade.lateBenefit() > 0 ? grade.expiry() : grade.contractTime();
        // Danger: work done after the first try's time is lost, so a retry has less by what has passed.
        double left = x.expiry - now;
        boolean marked = fleet.stated.marksRetries();
        // Clients may give a first try up sooner than the next, which then has more time left, not less.
        boolean retry = marked ? x.retry && Math.abs(left - usual[x.grade]) > 0.01 * usual[x.grade]
                : isRetry(x.grade, left);
        double age = retry ? Math.max(0, grade.expiry() - left) : 0;
        usual[x.grade] = marked && !x.retry ? left : usual[x.grade];
        x.contract = Math.min(x.expiry, x.arrived + useful - age);
        open.add(x);
        again(x, now, turn);
    }

    /** Where clients do not mark their retries, a try with less time left than others is taken for one. */
    private boolean isRetry(int grade, double left) {
        since[grade] = left < 0.99 * usual[grade] ? since[grade] + 1 : 0;
        usual[grade] = since[grade] > ODD ? left : Math.max(usual[grade], left);
        return left < 0.99 * usual[grade];
    }

    void again(Request x, double now, Decision turn) {
        if (!x.over && now < x.contract) {
            offer(x, now, turn);
        } else {
            x.ending = FailureReason.NO_TIME_LEFT;
            giveUp(x, 0, now, turn);
        }
    }

    @Override
    void ended(Attempt f, AttemptOutcome outcome, double took, double now, Decision turn) {
        if (f.exchange.out == 0) {
            again(f.exchange, now, turn);
        }
    }

    /** Danger: a shed reply invites a retry, which would be a second effect if an earlier forward ran. */
    @Override
    void giveUp(Request x, double comeBack, double now, Decision turn) {
        if (!x.over) {
            x.over = true;
            boolean shed = RetryPolicy.mayShed(x);
            double retryAfter = Math.min(comeBack, fleet.stated.limits().retryAfter());
            turn.answers.add(new Decision.Answer(x, shed, shed ? retryAfter : 0));
            cancelAll(x, turn);
        }
    }

    void clientLeft(Request x, Decision turn) {
        x.over = true;
        cancelAll(x, turn);
    }

    private void cancelAll(Request x, Decision turn) {
        for (Attempt f = x.latest; f != null && fleet.stated.limits().cancel() && !x.begun; f = f.earlier) {
            if (!f.ended) {
                turn.cancels.add(f);
            }
        }
    }

    /** The safe alarm: whatever went wrong, what is still open at its expiry is answered. */
    void wake(double now, Decision turn) {
        while (wakeAt() <= now) {
            Request x = open.poll();
            if (!x.begun) {
                x.ending = FailureReason.EXPIRED;
                giveUp(x, 0, now, turn);
            }
        }
    }

    double wakeAt() {
        while (!open.isEmpty() && open.peek().over) {
            open.poll();
        }
        return open.isEmpty() ? Double.POSITIVE_INFINITY : open.peek().expiry;
    }
}
