package lemondrift.lab.fleet;

import static lemondrift.lab.fleet.Fleets.cut;
import static lemondrift.lab.fleet.Fleets.fault;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondrift.lab.Baseline;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.Fault.Kind;
import lemondrift.lab.simulation.RunResult;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests four real processes with faults between them. All tests use the same processes. */
class FleetTestbedTest {
    private static final int MAX_RUNS_TO_RECOVER = 10;
    private static FleetTestbed testbed;

    @BeforeAll
    static void start() throws Exception {
        testbed = Fleets.start(0.4, Path.of("deploy/peers.json"));
    }

    @AfterAll
    static void stop() throws Exception {
        Fleets.stop(testbed);
    }

    private static RunResult run(List<BackendFault> backendFaults, Fault... faults)
            throws Exception {
        return Fleets.run(testbed, backendFaults, faults);
    }

    /**
     * Executes runs without faults until one of them serves all requests. The earlier runs must
     * keep the rules too.
     */
    private static void assertRecovers() throws Exception {
        RunResult last = null;
        for (int i = 0; i < MAX_RUNS_TO_RECOVER; i++) {
            last = run(List.of());
            if (last.succeeded == last.clientRequests && last.rejected == 0) {
                return;
            }
        }
        fail("not recovered after " + MAX_RUNS_TO_RECOVER + " runs without faults: " + last);
    }

    private static void assertAllAnswered(RunResult result) {
        assertEquals(0, result.unanswered, result.toString());
        assertEquals(0, result.unreached, result.toString());
        assertTrue(result.clientRequests > 0 && result.succeeded > 0, result.toString());
    }

    @Test
    void noResponseIsLostWhenDatagramsAreCutLostDuplicatedDelayedOrInvalid() throws Exception {
        assertAllAnswered(
                run(
                        List.of(),
                        fault(Kind.CUT, "location 0", "location 1", 0, 3, 1),
                        fault(Kind.LOSE, "all", "all", 1, 4, 0.3),
                        fault(Kind.TWICE, "all", "all", 1, 4, 1),
                        fault(Kind.DISORDER, "all", "all", 2, 3, 1),
                        fault(Kind.LATE, "number 3", "all", 0, 5, 1),
                        fault(Kind.JUNK, "all", "all", 0, 5, 1)));
        assertRecovers();
    }

    /**
     * Guards against a result that is returned before the process thread has added the resource
     * usage of the processes.
     */
    @Test
    void resultIsCompleteWhenTheProcessThreadIsBusyAtTheEndOfTheRun() throws Exception {
        // The first run of a testbed has a longer warm-up than all later ones.
        run(List.of());
        CountDownLatch busyUntil = new CountDownLatch(1);
        CompletableFuture<Void> release =
                CompletableFuture.runAsync(
                        busyUntil::countDown,
                        CompletableFuture.delayedExecutor(6, TimeUnit.SECONDS));
        CompletableFuture<Void> hold =
                CompletableFuture.runAsync(
                        () -> testbed.runOnProcessThread(() -> await(busyUntil)),
                        CompletableFuture.delayedExecutor(1500, TimeUnit.MILLISECONDS));
        RunResult result = run(List.of());
        assertTrue(result.gossipMessages > 0, result.toString());
        assertTrue(result.cpuShare > 0 && result.memoryMegabytes > 0, result.toString());
        CompletableFuture.allOf(hold, release).join();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void recoversAfterAllGossipIsCut() throws Exception {
        RunResult result = run(List.of(), fault(Kind.CUT, "all", "all", 0, 4, 1));
        assertAllAnswered(result);
        assertTrue(result.gossipMessages > 0, "the proxies must continue to send gossip");
        assertRecovers();
    }

    @Test
    void recoversAfterAKillWhileOldDatagramsAreInFlight() throws Exception {
        RunResult result =
                run(
                        List.of(),
                        fault(Kind.LATE, "all", "all", 0, 5, 1),
                        fault(Kind.KILL, "number 1", "all", 1, 0.5, 1));
        assertEquals(0, result.overloadedColdBackends);
        assertRecovers();
    }

    @Test
    void recoversAfterAPause() throws Exception {
        run(List.of(), fault(Kind.PAUSE, "number 2", "all", 1, 3, 1));
        assertRecovers();
    }

    @Test
    void recoversAfterARollingRestartDuringADeployWithDiscoveryCut() throws Exception {
        RunResult result =
                run(
                        List.of(new BackendFault(BackendFault.Kind.DEPLOY, 0.5, 3, 0.5, 1)),
                        fault(Kind.ROLL, "all", "all", 0.5, 4, 1),
                        cut(Fault.Channel.DISCOVERY, "30%", "all", 1, 2));
        assertEquals(
                0,
                result.overloadedColdBackends,
                "the proxies together must not overload a cold backend");
        assertRecovers();
    }

    @Test
    void noResponseIsLostWhenABackendIsCutOffFromOneProxy() throws Exception {
        assertAllAnswered(
                run(
                        List.of(),
                        cut(Fault.Channel.BACKENDS, "number 0", "number 3", 0.5, 3),
                        cut(Fault.Channel.BACKENDS, "location 1", "number 2", 1, 3)));
        assertRecovers();
    }

    /**
     * The baselines use the same experiment file, but there is no process that its faults could
     * affect.
     */
    @Test
    void policyWithoutProxiesIgnoresProcessFaults() throws Exception {
        try (FleetTestbed direct =
                FleetTestbed.withoutProxies(
                        Fleets.experiment(0.4), 1, Baseline.Kind.ORACLE, line -> {})) {
            direct.start();
            FleetTestbed.RunOutcome outcome =
                    direct.run(List.of(), List.of(fault(Kind.KILL, "all", "all", 0, 1, 1)), 1);
            assertEquals(Optional.empty(), outcome.brokenRule());
            assertEquals(
                    outcome.result().clientRequests,
                    outcome.result().succeeded,
                    outcome.result().toString());
            assertEquals(List.of(), direct.stop());
        }
    }

    @Test
    void noResponseIsLostWhenBackendsCrashVanishAndFailAtTheSameTime() throws Exception {
        RunResult result =
                run(
                        List.of(
                                new BackendFault(BackendFault.Kind.CRASH, 0.5, 2, 0.2, 1),
                                new BackendFault(BackendFault.Kind.VANISH, 1, 2, 0.2, 1),
                                new BackendFault(BackendFault.Kind.ERRORS, 1, 3, 0.2, 0.8),
                                new BackendFault(BackendFault.Kind.BURST, 1, 2, 1, 1.5)));
        assertAllAnswered(result);
        assertRecovers();
    }
}
