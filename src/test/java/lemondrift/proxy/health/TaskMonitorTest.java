package lemondrift.proxy.health;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lemondrift.proxy.health.TaskMonitor.Task;
import org.junit.jupiter.api.Test;

/** Tests the count of failures of tasks, and when they make the proxy unhealthy. */
class TaskMonitorTest {
    private double now = 1000;
    private final TaskMonitor monitor = new TaskMonitor(() -> now);

    private boolean fail(Task task) {
        return monitor.run(
                task,
                () -> {
                    throw new AssertionError("this task fails");
                });
    }

    /**
     * Guards against a proxy that says that it is healthy while a task fails each time that it has
     * something to do.
     */
    @Test
    void taskThatFailsAgainAndAgainMakesTheProxyUnhealthy() {
        assertFalse(fail(Task.CONNECTION_SWEEP));
        assertFalse(fail(Task.CONNECTION_SWEEP));
        assertFalse(fail(Task.CONNECTION_EVICTION));
        assertTrue(monitor.isHealthy(), "a failure or two may happen");
        assertTrue(monitor.run(Task.CONNECTION_SWEEP, () -> {}));
        now += 9;
        assertFalse(fail(Task.CONNECTION_SWEEP));
        assertFalse(monitor.isHealthy(), "three failures of one task in nine seconds");
        assertTrue(
                monitor.json().startsWith("{\"CONNECTION_SWEEP\":3,\"CONNECTION_EVICTION\":1,"),
                monitor.json());
        now += 2;
        assertTrue(monitor.isHealthy(), "two failures in the last ten seconds");
        for (int i = 0; i < 10; i++) {
            now += 6;
            fail(Task.GOSSIP_SEND);
            assertTrue(monitor.isHealthy(), "rare failures");
        }
    }
}
