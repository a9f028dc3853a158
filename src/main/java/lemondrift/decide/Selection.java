package lemondrift.decide;

import java.util.Arrays;
import lemondrift.model.Exchange;
import lemondrift.model.Forward;
import lemondrift.model.Outcome;
import lemondrift.model.ServiceGrade;
import lemondrift.model.Settings;
import lemondrift.model.Turn;

/** The design: the least estimated utilisation, the last report plus own sends since times one's worth. */
final class Selection extends Stage {
    /** Rates and mean reports are taken over this many windows. */
    private static final double MEMORY = 8;
    /** From this report on utilisations separate nothing, and work waiting is added to the estimate. */
    private static final double SATURATED = 0.9;
    /** Floor and cap of a service time, as a ratio to the fleet's. */
    private static final double SPREAD = 2;
    /** The fleet's service time is at least a quick answer's time over this: a backend of many cores. */
    private static final double FLOOR = 8;
    /** How far one answer moves the quartile, as a share of it. */
    private static final double QUICK_STEP = 0.05;
    /** The share of all benefit that probes may cost. */
    private static final double PROBE_COST = 0.0025;

    /** The window of the design page: the shortest contract time. */
    final double window;
    private final Fleet fleet;
    private final Chance chance;
    private final int balancers;
    private final int here;
    private final double crossing;
    private final double probeCharge;
    private final boolean byProbe;
    private final Settings.Reports places;
    private final double[] benefit;
    /** The lower quartile of answer times; a part of the contract time before the first. */
    private double quickest;
    private int answers;
    private double metWait;
    private double metWaitAt;
    private double benefitMean;
    private double rate;
    private double rateAt;
    /** How soon a report fades: one in an answer within a window, one by probe within a few probes. */
    private double horizon;

    private double[] report = new double[0];
    private double[] waiting = new double[0];
    private double[] reportAt = new double[0];
    private double[] sends = new double[0];
    private double[] ownRate = new double[0];
    private double[] ownRateAt = new double[0];
    private double[] meanReport = new double[0];
    private double[] served = new double[0];
    private double[] probeAt = new double[0];

    Selection(Settings s, Fleet fleet, Chance chance) {
        this.fleet = fleet;
        this.chance = chance;
        balancers = s.balancers();
        here = s.location();
        crossing = s.charges().crossing();
        probeCharge = s.charges().probe();
        byProbe = s.reports().byProbe() && s.limits().probes();
        places = s.reports();
        benefit = s.grades().stream().mapToDouble(ServiceGrade::benefit).toArray();
        benefitMean = Arrays.stream(benefit).average().orElse(1);
        quickest = s.grades().stream().mapToDouble(ServiceGrade::contractTime).min().orElse(1) / 16;
        window = 16 * quickest;
        horizon = window;
    }

    void listed(double now) {
        int known = report.length;
        report = Arrays.copyOf(report, fleet.size);
        waiting = Arrays.copyOf(waiting, fleet.size);
        reportAt = Arrays.copyOf(reportAt, fleet.size);
        sends = Arrays.copyOf(sends, fleet.size);
        ownRate = Arrays.copyOf(ownRate, fleet.size);
        ownRateAt = Arrays.copyOf(ownRateAt, fleet.size);
        meanReport = Arrays.copyOf(meanReport, fleet.size);
        served = Arrays.copyOf(served, fleet.size);
        probeAt = Arrays.copyOf(probeAt, fleet.size);
        for (int i = known; i < fleet.size; i++) {
            forget(i);
            ownRateAt[i] = now;
            probeAt[i] = now + chance.next() * window / 2;
        }
    }

    /** A backend that started afresh is unreported again. */
    void forget(int i) {
        report[i] = Double.NaN;
        meanReport[i] = Double.NaN;
        sends[i] = 0;
        waiting[i] = 0;
    }

    void reported(int i, double[] figures, boolean delivered, double now) {
        if (figures == null || places.utilisation() < 0 || places.utilisation() >= figures.length) {
            return;
        }
        double u = figures[places.utilisation()];
        // Danger: a backend that errors quickly reports the lowest figure and draws traffic.
        report[i] = delivered ? u : Math.max(u, mean(now));
        waiting[i] = figure(figures, places.queue());
        served[i] = figure(figures, places.rate());
        if (waiting[i] > 0) {
            report[i] += waiting[i] * worth(i, serviceTime(now), now);
        }
        double fresh = 1 - faded(reportAt[i], now);
        meanReport[i] = Double.isNaN(meanReport[i]) ? u : meanReport[i] + fresh * (u - meanReport[i]);
        reportAt[i] = now;
        sends[i] = 0;
        waited(Math.max(0, estimate(i, u, serviceTime(now), now) - 1) * window / balancers, now);
    }

    /** The mean wait met lately, over about one outcome a backend; it fades when none come. */
    private void waited(double wait, double now) {
        metWait = metWait(now) + (wait - metWait(now)) / Math.max(1, fleet.readyCount());
        metWaitAt = now;
    }

    private double metWait(double now) {
        return metWait * faded(metWaitAt, now);
    }

    private static double figure(double[] figures, int place) {
        return place >= 0 && place < figures.length ? figures[place] : Double.NaN;
    }

    /**
     * The mean utilisation reported, fading over the memory, with a half in one report's place.
     * Danger: were old high reports to stand, all would be shed and no answer would ever bring a new one.
     */
    private double mean(double now) {
        double sum = 0.5;
        double weight = 1;
        for (int i = 0; i < fleet.size; i++) {
            if (fleet.ready[i]) {
                double told = Double.isNaN(meanReport[i]) ? 0 : faded(reportAt[i], now);
                sum += told * (told > 0 ? meanReport[i] : 0);
                weight += told;
            }
        }
        return sum / weight;
    }

    /** How far a report still holds: it fades with its age. */
    private double trust(int i, double now) {
        return Double.isNaN(report[i]) ? 0 : Math.exp((reportAt[i] - now) / horizon);
    }

    private double faded(double since, double now) {
        return Math.exp((since - now) / (MEMORY * window));
    }

    private double rate(int i, double now) {
        return ownRate[i] * faded(ownRateAt[i], now);
    }

    /**
     * The fleet's service time: utilisation over exchanges a second, at most the time of a quick answer.
     * Danger: without that cap, sends that stop while reports stay high make every exchange look too long, all
     * are shed, and no send ever comes to correct it.
     */
    double serviceTime(double now) {
        double u = 0;
        double sent = 0;
        for (int i = 0; i < fleet.size; i++) {
            if (fleet.ready[i] && !Double.isNaN(meanReport[i])) {
                u += meanReport[i] * faded(reportAt[i], now);
                sent += Double.isNaN(served[i]) ? balancers * rate(i, now) : served[i];
            }
        }
        return sent > 0 ? Math.max(quickest / FLOOR, Math.min(quickest, u / sent)) : quickest;
    }

    /** The utilisation that one exchange adds at a backend, given the fleet's service time. */
    private double worth(int i, double fleetTime, double now) {
        double sent = Double.isNaN(served[i]) ? balancers * rate(i, now) : served[i];
        double seen = Double.isNaN(meanReport[i]) ? 0 : meanReport[i] * faded(reportAt[i], now);
        // One send's evidence of the fleet's own keeps a backend that is rarely picked from extremes.
        double little = balancers / (MEMORY * window);
        double s = (seen + little * fleetTime) / (sent + little);
        return Math.max(fleetTime / SPREAD, Math.min(fleetTime * SPREAD, s)) * balancers / window;
    }

    /** The estimate. A report fades towards the mean with its age. */
    private double estimate(int i, double mean, double fleetTime, double now) {
        double coldShare = fleet.coldShare[i];
        double worth = worth(i, fleetTime, now) / coldShare;
        double trust = trust(i, now);
        double base = Double.isNaN(report[i]) ? mean : mean + trust * (report[i] - mean);
        // What a report no longer tells of, being old or stuck at its top, own forwards out tell.
        double told = report[i] >= SATURATED && !(waiting[i] >= 0) ? 0 : trust;
        double own = told * sends[i] + (1 - told) * fleet.out[i];
        // Danger: a cold backend reports near nothing and draws more than it can bear.
        return (coldShare < 1 ? Math.max(base, mean) : base) + own * worth;
    }

    /** How long the least loaded of the given backends lets an exchange wait before its work begins. */
    double leastWait(boolean[] among, double now) {
        double mean = mean(now);
        double fleetTime = serviceTime(now);
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < fleet.size; i++) {
            if (among[i]) {
                least = Math.min(least, estimate(i, mean, fleetTime, now));
            }
        }
        return Math.max(metWait(now), Math.max(0, least - 1) * window / balancers);
    }

    /** Picks among the candidates. Crossing adds its charge, as a share of this exchange's benefit. */
    private int pick(Exchange x, double now) {
        double mean = mean(now);
        double fleetTime = serviceTime(now);
        double cross = crossing * benefitMean / Math.max(benefit[x.grade], benefitMean / 100);
        double least = Double.POSITIVE_INFINITY;
        int pick = -1;
        for (int i = 0; i < fleet.size; i++) {
            if (fleet.candidate[i]) {
                double e = estimate(i, mean, fleetTime, now)
                        + (fleet.location[i] == here ? 0 : cross);
                e = fleet.first[i] ? -1 : e + 1e-6 * chance.next();
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
        ownRate[i] = rate(i, now) + 1 / (MEMORY * window);
        ownRateAt[i] = now;
    }

    void arrived(Exchange x, double now) {
        benefitMean += (benefit[x.grade] - benefitMean) / 100;
        rate = rate * faded(rateAt, now) + 1 / (MEMORY * window);
        rateAt = now;
    }

    /** Danger: a backend that answers nothing reports nothing either, and looks as idle as it last was. */
    private void unanswered(int i, double wait, double now) {
        double least = Math.max(1, estimate(i, mean(now), serviceTime(now), now));
        waited(wait, now);
        report[i] = least;
        reportAt[i] = now;
        waiting[i] = 0;
        sends[i] = 0;
    }

    @Override
    void ended(Forward f, Outcome outcome, double took, double now, Turn turn) {
        fleet.out[f.backend]--;
        if (outcome == Outcome.DELIVERED) {
            answers++;
            double step = Math.max(QUICK_STEP, 1 / (1.0 + answers));
            quickest *= took < quickest ? 1 - 0.75 * step : 1 + 0.25 * step;
        }
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CONNECT_FAILED) {
            unanswered(f.backend, took, now);
        } else if (outcome == Outcome.FULL) {
            unanswered(f.backend, window, now);
        }
        super.ended(f, outcome, took, now, turn);
    }

    /** Probes now and then, jittered, where reports come no other way. */
    void wake(double now, Turn turn) {
        if (!byProbe) {
            return;
        }
        double spare = PROBE_COST * Math.max(1, rate);
        double interval = Math.max(window / 2, probeCharge * fleet.readyCount() / spare);
        horizon = 4 * interval;
        for (int i = 0; i < fleet.size; i++) {
            if (fleet.ready[i] && probeAt[i] <= now) {
                turn.probes.add(i);
                probeAt[i] = now + chance.jitter(interval);
            }
        }
    }

    double wakeAt() {
        double at = Double.POSITIVE_INFINITY;
        for (int i = 0; byProbe && i < fleet.size; i++) {
            at = fleet.ready[i] ? Math.min(at, probeAt[i]) : at;
        }
        return at;
    }
}
