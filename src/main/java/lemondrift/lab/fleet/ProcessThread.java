package lemondrift.lab.fleet;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The single thread on which processes are started, signalled and measured, in order. Each of these
 * operations may take too long for the I/O thread. All methods may be called on any thread.
 */
final class ProcessThread implements AutoCloseable {
    private final ExecutorService executor = Executors.newSingleThreadExecutor();
    private final RealTimeScheduler scheduler;

    /** Creates the thread; failures of tasks are passed to the scheduler. */
    ProcessThread(RealTimeScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Runs a task after all earlier ones, without waiting for it. A failure ends the run. */
    void execute(Runnable task) {
        executor.execute(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        // Catches every exception: any failure of a task ends the run, and the
                        // executor would only print it.
                        scheduler.fail(e);
                    }
                });
    }

    /**
     * Runs a task after all earlier ones and waits for its result.
     *
     * @throws IllegalStateException if the task fails
     */
    <T> T call(Callable<T> task) throws InterruptedException {
        try {
            return executor.submit(task).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Interrupts the running task and discards the waiting ones. */
    @Override
    public void close() {
        executor.shutdownNow();
    }
}
