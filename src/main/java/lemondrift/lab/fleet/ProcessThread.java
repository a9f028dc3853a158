package lemondrift.lab.fleet;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The one thread on which processes are started, signalled and measured, in order: each of these
 * may take time that the I/O thread does not have. Any thread may call.
 */
final class ProcessThread implements AutoCloseable {
    private final ExecutorService executor = Executors.newSingleThreadExecutor();
    private final RealTimeScheduler scheduler;

    /** A failure of a task becomes one of the scheduler's. */
    ProcessThread(RealTimeScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Runs a task after all earlier ones, without waiting for it; a failure ends the day. */
    void execute(Runnable task) {
        executor.execute(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        // Any failure of a task ends the run; the executor would only print it.
                        scheduler.fail(e);
                    }
                });
    }

    /**
     * Runs a task after all earlier ones and waits for its result.
     *
     * @throws IllegalStateException where the task fails
     */
    <T> T call(Callable<T> task) throws InterruptedException {
        try {
            return executor.submit(task).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Interrupts the running task and drops those that wait. */
    @Override
    public void close() {
        executor.shutdownNow();
    }
}
