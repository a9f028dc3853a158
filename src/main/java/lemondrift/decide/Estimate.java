package lemondrift.decide;

import java.util.Arrays;
import lemondrift.model.*;

/** The design's figure: a backend's last report plus own sends since times one exchange's worth. */
final class Estimate {
    /** Windows over which own figures are remembered, the wait met lately is taken, and reports fade. */
    private static final double MEMORY = 8, MET = 2, FADE = 0.125;
    /** Floor and cap of a backend's service time to a quick answer's time, and the least step of that. */
    private static final double SPREAD = 2, STEP = 0.02;
    /** How many own outcomes the pace is taken over. */
    private static final int FEW = 8;

    /** The window of the design page, which is the shortest contract time; spans in which things fade. */
    final double window, memory, horizon;
    /** Reports say utilisation alone, which is an average that stays while hundreds of proxies act on it. */
    final boolean averages;
    private final Settings.Reports places;
    private final Fleet fleet;
    private final int balancers;
    /** Answer times' lower quartile (three steps down balance one up) and number; time per one ahead. */
    private double quick, answers, pace, period, born, told;
    private int allOut;
    /** Own exchanges a second, the mean wait met lately, and the reports heard lately and their number. */
    final Faded ownRate, metWait;
    private final Faded heard, heards;

    private double[] report = {}, reportedAt = {}, sends = {}, rated = {}, suspected = {}, suspectedAt = {};
    /** Where other proxies tell what they have out: that, and the last reports' use and exchanges held. */
    boolean othersHeard;
    private double[] others = {}, use = {}, held = {};

    Estimate(Settings s, Fleet fleet) {
        this.fleet = fleet;
        balancers = s.balancers();
        places = s.reports();
        averages = places.held() < 0;
        window = s.grades().stream().mapToDouble(ServiceGrade::contractTime).min().orElse(1);
        memory = MEMORY * window;
        horizon = FADE * window;
        quick = window / 16;
        pace = quick;
        told = places.rate() < 0 ? 0 : quick;
        ownRate = new Faded(memory);
        metWait = new Faded(MET * window);
        heard = new Faded(horizon);
        heards = new Faded(horizon);
    }

    void listed() {
        report = Arrays.copyOf(report, fleet.size);
        reportedAt = Arrays.copyOf(reportedAt, fleet.size);
        sends = Arrays.copyOf(sends, fleet.size);
        rated = Arrays.copyOf(rated, fleet.size);
        suspected = Arrays.copyOf(suspected, fleet.size);
        suspectedAt = Arrays.copyOf(suspectedAt, fleet.size);
        others = Arrays.copyOf(others, fleet.size);
        use = Arrays.copyOf(use, fleet.size);
        held = Arrays.copyOf(held, fleet.size);
    }

    /**
     * A report overwrites the estimate and clears the sends; exchanges held add their work to it. Danger:
     * one that comes with an answer was made while that exchange was held, so the idle would look busy.
     */
    void reported(int i, double[] figures, boolean delivered, boolean answer, double now) {
        double u = figure(figures, places.utilisation(), 0);
        double itself = places.countsAnswered() && answer && delivered ? 1 : 0;
        double h = Math.max(0, figure(figures, places.held(), 0) - itself);
        if (figures == null || !(u + h >= 0)) {
            return;
        }
        // Danger: one that is told again says nothing new, and clearing the sends would draw a herd to it.
        double gap = now - reportedAt[i];
        if (reportedAt[i] > 0 && delivered && u > 0 && u == use[i]) {
            period += Math.max(0, gap - period) / 4;
            return;
        }
        period -= reportedAt[i] > 0 && delivered ? Math.max(0, period - gap) / 16 : 0;
        use[i] = delivered ? u : 1;
        held[i] = h;
        double s = u / figure(figures, places.rate(), 0);
        if (s > 0 && s < window) {
            told += u * (s - told) / (FEW * FEW);
            rated[i] += (s - rated[i]) * (rated[i] == 0 ? 1 : 2.0 / FEW);
        }
        double busy = u + h * worth(i, now);
        // Danger: a backend that errors quickly reports the lowest figure and draws traffic.
        report[i] = delivered ? busy : Math.max(busy, mean(i, now));
        reportedAt[i] = now;
        sends[i] = 0;
        heard.add(busy, now);
        heards.add(1, now);
    }

    private static double figure(double[] figures, int place, double otherwise) {
        return place >= 0 && figures != null && place < figures.length ? figures[place] : otherwise;
    }

    /** The mean of the reports heard lately and a half; of averages, those of its own location. */
    private double mean(int i, double now) {
        return (0.5 + heard.at(now)) / (1 + heards.at(now));
    }

    /** The mean wait met lately, over four outcomes at least, so that none decides; it fades. */
    private void waited(double wait, double now) {
        metWait.add((wait - metWait.at(now)) / Math.max(4, MET * window * ownRate.at(now)), now);
    }

    /** How long an exchange waits for its work to begin where the utilisation is estimated above one. */
    double wait(int i, double now) {
        return Math.max(0, of(i, now) - 1) / worth(i, now) * perExchange(i, now);
    }

    /** The wait that own forwards meet now: the time in which as many are sent as are out, less the work. */
    double ownWait(int i, double now) {
        born = born == 0 ? now : born;
        double rate = ownRate.at(now) / (1 - Math.exp((born - now) / memory) + 1e-9);
        double work = perExchange(i, now);
        double met = work + metWait.at(now);
        return Math.max(0, (allOut + FEW) / (rate + FEW / met) - work);
    }

    double perExchange(int i, double now) {
        return i < 0 ? 0 : (told > 0 ? told : pace) / fleet.coldShare(i, now);
    }

    /** Utilisation by exchanges a second where reports carry these, else a quick answer's time. */
    private double serviceTime(int i, double now) {
        double usual = told > 0 ? told : quick;
        double s = rated[i] > 0 ? rated[i] : usual * fleet.meanPower / fleet.power[i];
        return quick / usual * Math.max(usual / SPREAD, Math.min(usual * SPREAD, s)) / fleet.coldShare(i, now);
    }

    /** The utilisation that one exchange adds if the others send alike; no more than a whole window's. */
    private double worth(int i, double now) {
        return Math.min(1, quick * balancers / window) * serviceTime(i, now) / quick;
    }

    double trust(int i, double now) {
        return reportedAt[i] == 0 ? 0 : Math.exp((reportedAt[i] - now) / horizon);
    }

    /** What own outcomes say against a backend counts as its use, long before it is suspended. */
    void suspect(int i, double share, double now) {
        suspected[i] = share;
        suspectedAt[i] = now;
    }

    double suspicion(int i, double now) {
        return suspected[i] * Math.exp((suspectedAt[i] - now) / memory);
    }

    double doubt(int i, double now) {
        return 1e-6 + (1 - trust(i, now)) * worth(i, now);
    }

    /** The estimate. What a report no longer tells, being old, the mean and own forwards out do. */
    double of(int i, double now) {
        double trust = trust(i, now), mean = mean(i, now);
        double base = mean + trust * (report[i] - mean);
        double own = trust * sends[i] + (1 - trust) * fleet.out[i];
        if (othersHeard && !averages) {
            // What is out is known of all, so the report adds how busy it was, and what it held beyond that.
            own = Math.max(fleet.out[i] + others[i], trust * (held[i] + sends[i]));
            mean = Math.min(1, mean);
            base = mean + trust * (use[i] - mean);
        }
        // Danger: a cold backend reports near nothing and draws more than it can bear.
        return (fleet.coldShare(i, now) < 1 ? Math.max(base, mean) : base) + own * worth(i, now);
    }

    void sent(int i, double now) {
        sends[i]++;
        fleet.out[i]++;
        allOut++;
        ownRate.add(1 / memory, now);
    }

    void ended(Forward f, Outcome outcome, double took, double now) {
        int i = f.backend;
        fleet.out[i]--;
        allOut--;
        if (outcome == Outcome.DELIVERED || outcome == Outcome.TIMED_OUT) {
            // Danger: where all turn slow only the quickest are delivered, and the rest must count too.
            pace += (took / (1 + (old() ? held[i] : f.ahead)) - pace) / Math.min(++answers, old() ? FEW * FEW : FEW);
        }
        switch (outcome) {
            case DELIVERED -> {
                double step = Math.max(STEP, 1 / (3 + answers));
                quick = answers == 1 ? Math.max(took, window / 1000)
                        : quick * (took < quick ? 1 - 3 * step : 1 + step);
                waited(Math.max(0, took - perExchange(i, now)), now);
            }
            case TIMED_OUT, CONNECT_FAILED, FULL -> waited(outcome == Outcome.FULL ? window : took, now);
        }
    }

    double meanWork() {
        return pace;
    }

    /** Whether reports are refreshed so seldom that one is old when it comes. */
    boolean old() {
        return period > horizon;
    }

    void othersHold(int i, int exchanges) {
        others[i] = exchanges;
    }

    void forget(int i) {
        reportedAt[i] = rated[i] = suspected[i] = sends[i] = others[i] = 0;
    }
}
