package lemondrift.proxy.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import lemondrift.balancer.LoadBalancer;
import lemondrift.lab.Experiment;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;
import lemondrift.proxy.config.RecoverySettings;
import lemondrift.recovery.PeerPollSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the snapshots that a proxy stores while it serves and when it stops, in virtual time. */
class RecoveryCoordinatorTest {
    private static final int SETTLED_SAMPLES = 8;
    private static final double SNAPSHOT_INTERVAL_SECONDS = 5;
    private static final double REQUEST_TIMEOUT_SECONDS = 2;

    /** Number of responses of each duration. */
    private static final int RESPONSES = 200;

    private final LoadBalancer balancer = new LoadBalancer(Experiment.settings(1, 1, 0.08, 1.5), 7);
    private double now = 1000;
    private long requestCount;

    private RecoveryCoordinator coordinator(Path folder) {
        RecoverySettings settings =
                new RecoverySettings(
                        new PeerPollSettings(0.1, 1, 8, 3, SETTLED_SAMPLES),
                        folder,
                        SNAPSHOT_INTERVAL_SECONDS);
        return new RecoveryCoordinator(settings, "n1", 0, 1, now);
    }

    private void listOneBackend() {
        balancer.endpointListCompleted(
                now,
                true,
                false,
                List.of(new EndpointUpdate(0, true, 0, 0, EndpointUpdate.State.READY, 0, 1, 0, 1)));
    }

    private void serve(RecoveryCoordinator coordinator, int requests, double durationSeconds) {
        for (int i = 0; i < requests; i++) {
            Request request = new Request(++requestCount, 0, 0, now, REQUEST_TIMEOUT_SECONDS);
            List<Attempt> attempts = balancer.requestArrived(now, request).attempts;
            if (attempts.isEmpty()) {
                now += 1;
                balancer.wake(now);
                continue;
            }
            Attempt attempt = attempts.get(0);
            now += durationSeconds;
            balancer.attemptEnded(
                    now, attempt, AttemptOutcome.SUCCESS, durationSeconds, true, null);
            coordinator.advance(now, balancer, (proxy, start) -> {}, message -> {});
        }
    }

    /**
     * Guards against a last snapshot with the outdated service time from when the proxy settled.
     */
    @Test
    void storesNewestServiceTimeInLastSnapshot(@TempDir Path folder) throws Exception {
        listOneBackend();
        RecoveryCoordinator coordinator = coordinator(folder);
        serve(coordinator, RESPONSES, 0.02);
        double whenSettled = balancer.measuredServiceTime().seconds();
        serve(coordinator, RESPONSES, 0.2);
        double newest = balancer.measuredServiceTime().seconds();
        assertTrue(
                newest > 1.5 * whenSettled,
                "settled at " + whenSettled + " s, newest " + newest + " s");
        coordinator.close();
        assertEquals(
                newest, SnapshotFile.read(folder.resolve("n1.snap")).serviceTimeSeconds(), 1e-6);
    }

    /** Guards against a due snapshot being delayed until the next request arrives. */
    @Test
    void asksToBeWokenForTheNextSnapshot(@TempDir Path folder) {
        listOneBackend();
        try (RecoveryCoordinator coordinator = coordinator(folder)) {
            serve(coordinator, RESPONSES, 0.02);
            assertTrue(
                    coordinator.wakeAt() <= now + 1.5 * SNAPSHOT_INTERVAL_SECONDS,
                    "wakes at " + coordinator.wakeAt() + " s, now " + now + " s");
        }
    }
}
