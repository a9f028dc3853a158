package lemondrift.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.FaultTarget;
import lemondrift.lab.simulation.RunResult;
import lemondrift.lab.simulation.Scenario;
import lemondrift.proxy.ProxyProcess;

/** Small fleets of real processes that run the classes under test. */
final class Fleets {
    static final int PROXIES = 4;
    static final int BACKENDS = 6;

    private static final double RUN_SECONDS = 5;
    private static final double RUN_WITHOUT_FAULTS_SECONDS = 2;
    private static final double WORK_SECONDS = 0.05;

    private Fleets() {}

    /**
     * Creates an experiment with little traffic for the backends, so that no result depends on the
     * speed of the machine.
     */
    static Experiment experiment(double load) {
        Scenario scenario =
                new Scenario(
                        Experiment.settings(PROXIES, 2, 0.08, 1.5),
                        PROXIES,
                        BACKENDS,
                        1,
                        load * BACKENDS / WORK_SECONDS,
                        WORK_SECONDS,
                        0.5,
                        3,
                        0,
                        0.1,
                        2,
                        3,
                        1,
                        List.of());
        return new Experiment(
                "small",
                "",
                scenario,
                List.of(),
                List.of(1L),
                List.of(),
                true,
                true,
                Experiment.Host.PROCESSES,
                0,
                0,
                List.of());
    }

    static ProcessLauncher launcher(Path peers, Path recovery) throws IOException {
        List<String> command =
                List.of(
                        ProxyProcess.javaCommand(),
                        ProxyProcess.NATIVE_LIBRARY_OPTION,
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx88m",
                        "-Xss256k",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "lemondrift.Main",
                        "serve");
        return new ProcessLauncher(
                ProxyProcess.deployedCommand(command),
                Path.of("."),
                Map.of("PROXY_PEERS", peers.toString(), "PROXY_RECOVERY", recovery.toString()));
    }

    static FleetTestbed start(double load, Path peers) throws Exception {
        return start(load, peers, Path.of("deploy/recovery.json"));
    }

    static FleetTestbed start(double load, Path peers, Path recovery) throws Exception {
        FleetTestbed testbed =
                FleetTestbed.withProxies(
                        experiment(load), 1, launcher(peers, recovery), line -> {});
        testbed.start();
        return testbed;
    }

    static Fault fault(
            Fault.Kind kind,
            String from,
            String to,
            double at,
            double durationSeconds,
            double share) {
        return new Fault(
                kind,
                Fault.Channel.DATAGRAMS,
                FaultTarget.parse(from),
                FaultTarget.parse(to),
                true,
                at,
                durationSeconds,
                share,
                0.3);
    }

    static Fault cut(
            Fault.Channel channel, String from, String to, double at, double durationSeconds) {
        return new Fault(
                Fault.Kind.CUT,
                channel,
                FaultTarget.parse(from),
                FaultTarget.parse(to),
                false,
                at,
                durationSeconds,
                1,
                0);
    }

    /** Executes a run with these faults, and checks that all rules are kept. */
    static RunResult run(FleetTestbed testbed, List<BackendFault> backendFaults, Fault... faults)
            throws Exception {
        double durationSeconds = faults.length > 0 ? RUN_SECONDS : RUN_WITHOUT_FAULTS_SECONDS;
        FleetTestbed.RunOutcome outcome =
                testbed.run(backendFaults, List.of(faults), durationSeconds);
        assertEquals(Optional.empty(), outcome.brokenRule());
        return outcome.result();
    }

    /** Stops all proxies, and checks that all drain and exit with 0. */
    static void stop(FleetTestbed testbed) throws Exception {
        try (FleetTestbed closing = testbed) {
            assertEquals(List.of(), closing.stop());
        }
    }
}
