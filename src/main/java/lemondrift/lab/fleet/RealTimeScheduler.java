package lemondrift.lab.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import lemondrift.lab.simulation.Scheduler;
import lemondrift.settings.InvalidSettingsException;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Schedules tasks in real time, in seconds since its creation. All tasks run on the testbed's I/O
 * thread. The first failure of a task is thrown to callers on other threads.
 */
final class RealTimeScheduler implements Scheduler {
    /** How long a call from another thread waits for its result. */
    private static final long CALL_TIMEOUT_SECONDS = 60;

    private static final double NANOS_PER_SECOND = 1e9;

    private final long originNanos = System.nanoTime();
    private final XnioIoThread ioThread;
    private final CompletableFuture<Void> failure = new CompletableFuture<>();

    RealTimeScheduler(XnioIoThread ioThread) {
        this.ioThread = ioThread;
    }

    @Override
    public double now() {
        return (System.nanoTime() - originNanos) / NANOS_PER_SECOND;
    }

    @Override
    public Entry at(double time, Runnable task) {
        long nanos = Math.max(0, (long) ((time - now()) * NANOS_PER_SECOND));
        XnioExecutor.Key key =
                ioThread.executeAfter(() -> runGuarded(task), nanos, TimeUnit.NANOSECONDS);
        return key::remove;
    }

    /** Runs a task on the I/O thread as soon as possible, without waiting for it. Any thread. */
    void execute(Runnable task) {
        ioThread.execute(() -> runGuarded(task));
    }

    /**
     * Runs a task on the I/O thread and waits for its end; throws the same exceptions as {@link
     * #call}.
     */
    void run(Runnable task) throws InterruptedException {
        call(
                () -> {
                    task.run();
                    return true;
                });
    }

    /**
     * Runs a task on the I/O thread and waits for its result. Not to be called on the I/O thread.
     *
     * @throws InvalidSettingsException if the first failure, of this task or an earlier one, was of
     *     this type
     * @throws IllegalStateException if the first failure was of another type, or if there is no
     *     result in time
     */
    <T> T call(Supplier<T> task) throws InterruptedException {
        CompletableFuture<T> result = new CompletableFuture<>();
        execute(() -> result.complete(task.get()));
        try {
            CompletableFuture.anyOf(result, failure).get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return result.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof InvalidSettingsException invalidSettings
                    ? invalidSettings
                    : new IllegalStateException(e.getCause());
        } catch (TimeoutException e) {
            throw new IllegalStateException(
                    "the I/O thread of the testbed did not respond within "
                            + CALL_TIMEOUT_SECONDS
                            + " s",
                    e);
        }
    }

    /** Makes all later calls from other threads fail. Any thread. */
    void fail(RuntimeException cause) {
        failure.completeExceptionally(cause);
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // Catches every exception: any failure of a task ends the run, and the I/O thread
            // itself would only log it.
            fail(e);
        }
    }
}
