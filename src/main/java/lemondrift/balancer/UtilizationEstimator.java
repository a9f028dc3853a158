package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Settings;

/** The design's figure: a backend's last report plus own sends since times one exchange's worth. */
final class UtilizationEstimator {
    /**
     * Windows of memory, of the wait met lately, and over which reports fade; what asking may cost.
     */
    private static final double MEMORY = 8;

    private static final double MET = 2;
    private static final double FADE = 0.125;
    private static final double MOST_COST = 0.03;

    /**
     * How many are asked for reports at a time and how often, where probes are cheap; the least
     * part.
     */
    static final int ASKED = 3;

    static final int ROUNDS = 4;
    static final int PART = ASKED * ROUNDS;

    /**
     * Floor and cap of a service time to the usual, a quick answer's least step, outcomes to be
     * sure by.
     */
    private static final double SPREAD = 2;

    private static final double STEP = 0.02;
    private static final double FEW = 8;

    /** The window of the design page, and the span over which own figures are remembered. */
    double window;

    double memory;

    private final BackendTable backends;

    /**
     * Answer times' lower quartile (three steps down balance one up) and number; time per one
     * ahead.
     */
    private double quick;

    private double answers;
    private double pace;

    /**
     * How long a report is told again, the fleet's service time as told, when a wait was first
     * asked for.
     */
    private double period;

    private double told;
    private double born;
    private double allOut;

    /** Own exchanges a second, the mean wait met, and the reports heard lately and their number. */
    final DecayingSum ownRate = new DecayingSum();

    final DecayingSum metWait = new DecayingSum();

    private final DecayingSum heard = new DecayingSum();
    private final DecayingSum heards = new DecayingSum();
    private double[] loadReport = {};
    private double[] reportedAt = {};
    private double[] sends = {};
    private double[] rated = {};
    private double[] use = {};
    private double[] held = {};

    /** Where other proxies tell what they have out: that. */
    boolean othersHeard;

    double[] others = {};

    UtilizationEstimator(BackendTable backends) {
        this.backends = backends;
        stated();
        pace = quick = window / 16;
        told = backends.stated.loadReports().requestRateField() < 0 ? 0 : quick;
    }

    void stated() {
        window = backends.stated.windowSeconds();
        ownRate.span = metWait.span = memory = MEMORY * window;
    }

    /** How often an exchange may ask for reports. */
    int rounds() {
        return old() ? 0 : (int) Math.min(ROUNDS, MOST_COST / ASKED / backends.stated.probeCost());
    }

    /** How long a report counts: where none can be asked for, until the next may come by itself. */
    private double horizon() {
        return old() || rounds() > 0 ? FADE * window : memory;
    }

    void listed() {
        if (loadReport.length == backends.size) {
            return;
        }
        loadReport = Arrays.copyOf(loadReport, backends.size);
        reportedAt = Arrays.copyOf(reportedAt, backends.size);
        sends = Arrays.copyOf(sends, backends.size);
        rated = Arrays.copyOf(rated, backends.size);
        others = Arrays.copyOf(others, backends.size);
        use = Arrays.copyOf(use, backends.size);
        held = Arrays.copyOf(held, backends.size);
    }

    /**
     * A report overwrites the estimate and clears the sends; exchanges held add their work to it.
     */
    void reported(int i, double[] figures, boolean delivered, boolean answer, double now) {
        Settings.LoadReports places = backends.stated.loadReports();
        double u = Settings.LoadReports.field(figures, places.utilizationField());
        // Danger: one that comes with an answer counts the exchange answered, so the idle would
        // look busy.
        double itself = places.countsAnsweredRequest() && answer && delivered ? 1 : 0;
        double h =
                Math.max(0, Settings.LoadReports.field(figures, places.inFlightField()) - itself);
        if (figures == null || !(u + h >= 0)) {
            return;
        }
        // Danger: one that is told again says nothing new, and clearing the sends would draw a herd
        // to it.
        if (reportedAt[i] > 0 && delivered && u > 0 && u == use[i] && h == held[i]) {
            period += Math.max(0, now - reportedAt[i] - period) / 8;
            return;
        }
        period -=
                reportedAt[i] > 0 && delivered ? Math.max(0, period - now + reportedAt[i]) / 4 : 0;
        use[i] = delivered ? u : 1;
        held[i] = h;
        double s = u / Settings.LoadReports.field(figures, places.requestRateField());
        if (s > 0 && s < window) {
            told += u * (s - told) / (FEW * FEW);
            rated[i] += (s - rated[i]) * (rated[i] == 0 ? 1 : 2.0 / FEW);
        }
        double busy = u + h * worth(i, now);
        // Danger: a backend that errors quickly reports the lowest figure and draws traffic.
        loadReport[i] = delivered ? busy : Math.max(busy, mean(now));
        reportedAt[i] = now;
        sends[i] = 0;
        heard.span = heards.span = horizon();
        heard.add(busy, now);
        heards.add(1, now);
    }

    private double mean(double now) {
        return (0.5 + heard.at(now)) / (1 + heards.at(now));
    }

    /**
     * How long an exchange waits for its work to begin where the utilisation is estimated above
     * one.
     */
    double wait(int i, double now) {
        return Math.max(0, of(i, now) - 1) / worth(i, now) * workTime(i, now);
    }

    /** Whether the others tell what they have out there. */
    boolean known(int i) {
        return othersHeard && backends.line[i].userShare() > 0;
    }

    /** The wait that own forwards meet now, by Little's law, where reports are old. */
    double ownWait(int i, double now) {
        born = born == 0 ? now : born;
        double rate = ownRate.at(now) / (1 - Math.exp((born - now) / memory) + 1e-9);
        double work = workTime(i, now);
        // Danger: one that is out at a thin proxy would look like a jam, so a few met lately count
        // with it.
        return Math.max(0, (allOut + FEW) / (rate + FEW / (work + metWait.at(now))) - work);
    }

    double workTime(int i, double now) {
        return i < 0 ? 0 : (told > 0 ? told : pace) / backends.coldShare(i, now);
    }

    /**
     * The utilisation that one exchange adds if the others send alike, no more than a whole
     * window's.
     */
    double worth(int i, double now) {
        double usual = told > 0 ? told : quick;
        double share =
                rated[i] > 0 ? rated[i] / usual : backends.meanPower / backends.line[i].weight();
        return Math.min(1, quick * backends.stated.proxyCount() / window)
                * Math.max(1 / SPREAD, Math.min(SPREAD, share))
                / backends.coldShare(i, now);
    }

    double trust(int i, double now) {
        return reportedAt[i] == 0 ? 0 : Math.exp((reportedAt[i] - now) / horizon());
    }

    /** The estimate. What a report no longer tells, being old, the mean and own forwards out do. */
    double of(int i, double now) {
        double trust = trust(i, now);
        double mean = mean(now);
        double base = mean + trust * (loadReport[i] - mean);
        double own = trust * sends[i] + (1 - trust) * backends.out[i];
        if (othersHeard) {
            // What is out is known of all, so the report adds how busy it was, and what it held
            // beyond that.
            own = Math.max(backends.out[i] + others[i], trust * (held[i] + sends[i]));
            mean = Math.min(1, mean);
            base = mean + trust * (use[i] - mean);
        }
        // Danger: a cold backend reports near nothing and draws more than it can bear.
        return (backends.coldShare(i, now) < 1 ? Math.max(base, mean) : base) + own * worth(i, now);
    }

    /** So many forwards more; fewer where one of watching's own was never made. */
    void sent(int i, int forwards, double now) {
        sends[i] = Math.max(0, sends[i] + forwards);
        backends.out[i] += forwards;
        allOut += forwards;
        ownRate.add(forwards / memory, now);
    }

    void ended(Attempt attempt, AttemptOutcome outcome, double durationSeconds, double now) {
        int i = attempt.backend;
        backends.out[i]--;
        allOut--;
        boolean good = outcome == AttemptOutcome.SUCCESS;
        if (good || outcome == AttemptOutcome.TIMED_OUT) {
            // Danger: where all turn slow only the quickest are delivered, and the rest must count
            // too.
            // What an old report says is ahead is no measure; what the answer's own report says is.
            double ahead = old() ? held[i] : attempt.queueAhead;
            pace +=
                    (durationSeconds / (1 + ahead) - pace)
                            / Math.min(++answers, old() ? FEW * FEW : FEW);
        }
        if (good) {
            double step = Math.max(STEP, 1 / (3 + answers));
            quick =
                    answers == 1
                            ? Math.max(durationSeconds, window / 1000)
                            : quick * (durationSeconds < quick ? 1 - 3 * step : 1 + step);
        }
        if (good
                || outcome == AttemptOutcome.TIMED_OUT
                || (outcome.neverExecuted && outcome != AttemptOutcome.NOT_SENT)) {
            double wait =
                    outcome == AttemptOutcome.OVERLOADED
                            ? window
                            : !good
                                    ? durationSeconds
                                    : backends.stated.loadReports().inResponses() && !old()
                                            ? wait(i, now)
                                            : Math.max(0, durationSeconds - workTime(i, now));
            // Over four outcomes at least, so that none decides; it fades sooner where no report
            // ends a jam.
            metWait.span = old() ? MET * window : memory;
            metWait.add(
                    (wait - metWait.at(now)) / Math.max(4, MET * window * ownRate.at(now)), now);
        }
    }

    /** Whether reports are refreshed so seldom that one is old when it comes. */
    boolean old() {
        return period > FADE * window;
    }

    void forget(int i) {
        reportedAt[i] = rated[i] = sends[i] = others[i] = 0;
    }
}
