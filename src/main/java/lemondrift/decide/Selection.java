package lemondrift.decide;

import java.util.Arrays;
import lemondrift.model.*;

/** The design: the least estimated utilisation, the last report plus own sends since times one's worth. */
final class Selection extends Stage {
    /** Rates and mean utilisations are taken over so many windows, the wait met lately over so many. */
    private static final double MEMORY = 8, MET = 2;
    /** From this report on utilisations separate nothing; where no queue is reported, own forwards out do. */
    private static final double SATURATED = 0.9;
    /** Floor and cap of a backend's service time to the fleet's, and of that to a quick answer's time. */
    private static final double SPREAD = 2;
    private static final double STEP = 0.02;
    /** The share of all benefit that probes may cost. */
    private static final double PROBE_COST = 0.0025;

    /** The window of the design page, which is the shortest contract time, and the memory in seconds. */
    final double window, memory;
    private final Fleet fleet;
    private final Chance chance;
    private final int balancers, here;
    private final Settings.Reports places;
    private final boolean mayProbe;
    private final double probeCharge, crossing, meanBenefit;
    private final double[] benefit;
    /** The lower quartile of answer times: three steps down balance one up. */
    private double quick;
    /** The mean wait met lately, and when it was met. */
    private double metWait, metAt;
    /** Figures of the fleet, worked out anew before each use. */
    private double mean, serviceTime, ownRate;
    /** How soon a report fades: one in an answer over half a window, one by probe over two probes. */
    private double horizon;

    private double[] report = {}, reportedAt = {}, meanReport = {}, sends = {}, probeAt = {};
    /** Exchanges a second that a backend is sent by all proxies, and when that was worked out. */
    private double[] rate = {}, ratedAt = {};

    Selection(Settings s, Fleet fleet, Chance chance) {
        this.fleet = fleet;
        this.chance = chance;
        balancers = s.balancers();
        here = s.location();
        places = s.reports();
        mayProbe = s.limits().probes();
        probeCharge = s.charges().probe();
        crossing = s.charges().crossing();
        benefit = s.grades().stream().mapToDouble(ServiceGrade::benefit).toArray();
        meanBenefit = Arrays.stream(benefit).average().orElse(1);
        window = s.grades().stream().mapToDouble(ServiceGrade::contractTime).min().orElse(1);
        memory = MEMORY * window;
        quick = window / 16;
        horizon = window / 2;
    }

    void listed(double now) {
        int known = report.length;
        report = Arrays.copyOf(report, fleet.size);
        reportedAt = Arrays.copyOf(reportedAt, fleet.size);
        meanReport = Arrays.copyOf(meanReport, fleet.size);
        sends = Arrays.copyOf(sends, fleet.size);
        rate = Arrays.copyOf(rate, fleet.size);
        ratedAt = Arrays.copyOf(ratedAt, fleet.size);
        probeAt = Arrays.copyOf(probeAt, fleet.size);
        for (int i = known; i < fleet.size; i++) {
            probeAt[i] = now + chance.next() * window / 2;
        }
    }

    /** A report overwrites the estimate and clears the sends; exchanges that wait add their worth to it. */
    void reported(int i, double[] figures, boolean delivered, double now) {
        if (figures == null || !(figure(figures, places.utilisation(), -1) >= 0)) {
            return;
        }
        lookOver(now);
        double u = figure(figures, places.utilisation(), 0);
        meanReport[i] = u + faded(reportedAt[i], now) * (meanReport[i] - u);
        if (places.rate() >= 0) {
            rate[i] = figure(figures, places.rate(), 0);
            ratedAt[i] = now;
        }
        double waiting = figure(figures, places.queue(), 0);
        // Danger: a backend that errors quickly reports the lowest figure and draws traffic.
        overwrite(i, (delivered ? u : Math.max(u, mean)) + waiting * worth(i, now), now);
        if (places.inAnswers()) {
            waited(wait(estimate(i, now)), now);
        }
    }

    private static double figure(double[] figures, int place, double otherwise) {
        return place >= 0 && place < figures.length ? figures[place] : otherwise;
    }

    private void overwrite(int i, double estimate, double now) {
        report[i] = estimate;
        reportedAt[i] = now;
        sends[i] = 0;
    }

    /** The mean wait met lately, over four outcomes at least, so that none decides; it fades. */
    private void waited(double wait, double now) {
        double met = metWait * faded(metAt, now);
        metWait = met + (wait - met) / Math.max(4, MET * window * ownRate);
        metAt = now;
    }

    /** How long an exchange waits for its work to begin where the utilisation is estimated above one. */
    private double wait(double estimate) {
        return Math.max(0, estimate - 1) * window / balancers;
    }

    double faded(double since, double now) {
        return since == 0 ? 0 : Math.exp((since - now) / memory);
    }

    /** The fleet's mean, of the reports as far as they are trusted and a half, and its service time. */
    private void lookOver(double now) {
        double sum = 0.5, weight = 1;
        double u = 0, all = 0, sent = 0;
        for (int i = 0; i < fleet.size; i++) {
            if (fleet.ready[i]) {
                sum += report[i] * trust(i, now);
                weight += trust(i, now);
                u += meanReport[i] * faded(reportedAt[i], now);
                all += rate[i] * faded(ratedAt[i], now);
                sent += reportedAt[i] > 0 ? rate[i] * faded(ratedAt[i], now) : 0;
            }
        }
        mean = sum / weight;
        ownRate = all / balancers;
        // Danger: sends that stop while reports stay high make every exchange look too long, all are shed,
        // and no send ever comes to correct it; so a quick answer's time is the cap.
        serviceTime = sent > 0 ? Math.max(quick / SPREAD, Math.min(quick * SPREAD, u / sent)) : quick;
    }

    /** The utilisation one exchange adds at a backend; one send's evidence of the fleet's steadies it. */
    private double worth(int i, double now) {
        double little = balancers / memory;
        double s = (meanReport[i] * faded(reportedAt[i], now) + little * serviceTime)
                / (rate[i] * faded(ratedAt[i], now) + little);
        return Math.max(serviceTime / SPREAD, Math.min(serviceTime * SPREAD, s)) * balancers / window
                / fleet.coldShare[i];
    }

    private double trust(int i, double now) {
        return reportedAt[i] == 0 ? 0 : Math.exp((reportedAt[i] - now) / horizon);
    }

    /** The estimate. What a report no longer tells, being old or at its top, the mean and forwards out do. */
    private double estimate(int i, double now) {
        double trust = trust(i, now);
        double base = mean + trust * (report[i] - mean);
        double told = report[i] >= SATURATED && places.queue() < 0 ? 0 : trust;
        double own = told * sends[i] + (1 - told) * fleet.out[i];
        // Danger: a cold backend reports near nothing and draws more than it can bear.
        return (fleet.coldShare[i] < 1 ? Math.max(base, mean) : base) + own * worth(i, now);
    }

    /** The wait to expect: at the least loaded sound backend, or as met lately where that is longer. */
    double expectedWait(double now) {
        lookOver(now);
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < fleet.size; i++) {
            least = fleet.sound[i] ? Math.min(least, estimate(i, now)) : least;
        }
        return Math.max(metWait * faded(metAt, now), wait(least));
    }

    /** Picks among the candidates. Crossing adds its charge, as a share of this exchange's benefit. */
    private int pick(Exchange x, double now) {
        double cross = crossing * meanBenefit / Math.max(benefit[x.grade], meanBenefit / 100);
        double least = Double.POSITIVE_INFINITY;
        int pick = -1;
        for (int i = 0; i < fleet.size; i++) {
            if (fleet.candidate[i]) {
                double e = fleet.first[i] ? -1 : estimate(i, now)
                        + (fleet.location[i] == here ? 0 : cross) + 1e-6 * chance.next();
                if (e < least) {
                    least = e;
                    pick = i;
                }
            }
        }
        return pick;
    }

    @Override
    void offer(Exchange x, double now, Turn turn) {
        int i = pick(x, now);
        if (i < 0) {
            giveUp(x, window, now, turn);
            return;
        }
        x.latest = new Forward(x, i, now, x.contract - now);
        x.forwards++;
        x.out++;
        turn.sends.add(x.latest);
        sends[i]++;
        fleet.out[i]++;
        if (places.rate() < 0) {
            rate[i] = rate[i] * faded(ratedAt[i], now) + balancers / memory;
            ratedAt[i] = now;
        }
    }

    @Override
    void ended(Forward f, Outcome outcome, double took, double now, Turn turn) {
        fleet.out[f.backend]--;
        switch (outcome) {
            case DELIVERED -> {
                quick *= took < quick ? 1 - 3 * STEP : 1 + STEP;
                // Danger: probes outnumber answers and see little waiting; only what exchanges met counts.
                if (!places.inAnswers()) {
                    waited(Math.max(0, took - quick), now);
                }
            }
            case TIMED_OUT, CONNECT_FAILED, FULL -> {
                // Danger: a backend that answers nothing reports nothing, and looks as idle as it last was.
                lookOver(now);
                overwrite(f.backend, Math.max(1, estimate(f.backend, now)), now);
                waited(outcome == Outcome.FULL ? window : took, now);
            }
        }
        super.ended(f, outcome, took, now, turn);
    }

    /** Probes now and then, jittered, where reports come no other way, and those that are suspended. */
    void wake(double now, Turn turn) {
        lookOver(now);
        double interval = Math.max(window / 2,
                probeCharge * fleet.readyCount / PROBE_COST / Math.max(1 / window, ownRate));
        horizon = places.byProbe() ? 2 * interval : window / 2;
        for (int i = 0; i < fleet.size; i++) {
            if (isProbed(i) && probeAt[i] <= now) {
                turn.probes.add(i);
                probeAt[i] = now + chance.jitter(interval);
            }
        }
    }

    private boolean isProbed(int i) {
        return mayProbe && fleet.ready[i] && (places.byProbe() || fleet.suspended[i]);
    }

    double wakeAt() {
        double at = Double.POSITIVE_INFINITY;
        for (int i = 0; i < fleet.size; i++) {
            at = isProbed(i) ? Math.min(at, probeAt[i]) : at;
        }
        return at;
    }

    void forget(int i) {
        reportedAt[i] = 0;
        sends[i] = 0;
    }
}
