package lemondrift.lab.simulation;

import lemondrift.model.Settings;

/** Builds a variant of a scenario; fields that are not set keep their values. */
final class ScenarioBuilder {
    private final Scenario base;
    private Settings settings;
    private int proxies;
    private double rate;
    private int tries;
    private double graceSeconds;
    private double durationSeconds;

    private ScenarioBuilder(Scenario base) {
        this.base = base;
        settings = base.settings();
        proxies = base.proxies();
        rate = base.rate();
        tries = base.maxTries();
        graceSeconds = base.drainGraceSeconds();
        durationSeconds = base.durationSeconds();
    }

    static ScenarioBuilder from(Scenario base) {
        return new ScenarioBuilder(base);
    }

    ScenarioBuilder settings(Settings value) {
        settings = value;
        return this;
    }

    ScenarioBuilder proxies(int value) {
        proxies = value;
        return this;
    }

    ScenarioBuilder rate(double value) {
        rate = value;
        return this;
    }

    ScenarioBuilder tries(int value) {
        tries = value;
        return this;
    }

    ScenarioBuilder graceSeconds(double value) {
        graceSeconds = value;
        return this;
    }

    ScenarioBuilder durationSeconds(double value) {
        durationSeconds = value;
        return this;
    }

    Scenario build() {
        return new Scenario(
                settings,
                proxies,
                base.backends(),
                base.cores(),
                rate,
                base.meanWorkSeconds(),
                base.workLogStandardDeviation(),
                tries,
                base.oneWaySeconds(),
                base.discoveryDelaySeconds(),
                graceSeconds,
                durationSeconds,
                base.seed(),
                base.backendFaults());
    }
}
