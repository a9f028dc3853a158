package lemondrift.lab.simulation;

import java.util.List;
import lemondrift.lab.ModuleUnderTest;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.Idempotency;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;

/** Creates and runs small scenarios. */
final class Scenarios {
    private static final List<RequestClass> REQUEST_CLASSES =
            List.of(
                    new RequestClass(
                            1, 0, 0.5, 1.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
                    new RequestClass(
                            3,
                            0,
                            0.5,
                            1.2,
                            Idempotency.IDEMPOTENT_WITH_KEY,
                            DeduplicationScope.LOCATION,
                            0.6),
                    new RequestClass(
                            9, 0, 0.5, 1.2, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0));

    private Scenarios() {}

    static Settings settings(int proxies) {
        return new Settings(
                proxies,
                2,
                0,
                false,
                REQUEST_CLASSES,
                new double[0],
                1,
                false,
                new Settings.LoadReports(true, 0, 1, false, -1),
                new Settings.Limits(true, true, 4, 0.5),
                new Settings.Rules(0.3, 6, 3, 2, 10),
                new Settings.Costs(0.01, 0.002));
    }

    /** Creates a scenario of 20 s with traffic of 65% of the backends' capacity. */
    static Scenario of(int proxies, int backends, long seed, BackendFault... faults) {
        double rate = 0.65 * Math.max(1, backends) * 2 / 0.05;
        return new Scenario(
                settings(proxies),
                proxies,
                backends,
                2,
                rate,
                0.05,
                0.5,
                3,
                0.0005,
                0.4,
                2,
                20,
                seed,
                List.of(faults));
    }

    static RunResult run(Scenario scenario) {
        return new Simulation(
                        scenario,
                        (proxy, trueLoad) ->
                                new ModuleUnderTest(
                                        scenario.settings(), scenario.seed() * 1000 + proxy))
                .run();
    }
}
