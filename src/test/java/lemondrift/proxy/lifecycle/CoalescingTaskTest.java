package lemondrift.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests when a task that several threads request runs. */
class CoalescingTaskTest {
    private final AtomicInteger runs = new AtomicInteger();

    /** Guards against one read of the file for each of several signals during the start. */
    @Test
    void runsOnceForAllRequestsBeforeRelease() {
        CoalescingTask task = new CoalescingTask(runs::incrementAndGet);
        task.request();
        task.request();
        assertEquals(0, runs.get());
        task.release();
        assertEquals(1, runs.get());
        task.request();
        assertEquals(2, runs.get());
    }

    @Test
    void doesNotRunOnReleaseIfNothingWasRequested() {
        new CoalescingTask(runs::incrementAndGet).release();
        assertEquals(0, runs.get());
    }

    /** Guards against missing a newer file because an older one is still being read. */
    @Test
    void runsOnceMoreForAllRequestsDuringARun() throws Exception {
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch mayEnd = new CountDownLatch(1);
        CoalescingTask task =
                new CoalescingTask(
                        () -> {
                            runs.incrementAndGet();
                            running.countDown();
                            await(mayEnd);
                        });
        task.release();
        Thread first = new Thread(task::request);
        first.start();
        running.await();
        task.request();
        task.request();
        assertEquals(1, runs.get(), "callers must not wait for the run");
        mayEnd.countDown();
        first.join();
        assertEquals(2, runs.get());
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against a failed run preventing all later runs. */
    @Test
    void runsAgainAfterARunThatThrows() {
        CoalescingTask task =
                new CoalescingTask(
                        () -> {
                            if (runs.incrementAndGet() == 1) {
                                throw new IllegalStateException("thrown by the test");
                            }
                        });
        task.release();
        assertThrows(IllegalStateException.class, task::request);
        task.request();
        assertEquals(2, runs.get());
    }
}
