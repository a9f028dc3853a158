package lemondrift.proxy.lifecycle;

/**
 * A task that runs on request, one run at a time. All requests that arrive during a run, or while
 * the task is held back, together cause one more run. Any thread may request a run. A thread that
 * requests one while the task is not running runs it itself.
 */
final class CoalescingTask {
    private final Runnable task;
    private boolean heldBack = true;
    private boolean requested;
    private boolean running;

    /** Creates a task that is held back until {@link #release} is called. */
    CoalescingTask(Runnable task) {
        this.task = task;
    }

    /**
     * Runs the task. If another thread is running it or it is held back, the task runs later
     * instead.
     */
    void request() {
        synchronized (this) {
            requested = true;
        }
        runWhileRequested();
    }

    /** Stops holding the task back, and runs it if it was requested in the meantime. */
    void release() {
        synchronized (this) {
            heldBack = false;
        }
        runWhileRequested();
    }

    private void runWhileRequested() {
        while (takeRequest()) {
            try {
                task.run();
            } finally {
                markFinished();
            }
        }
    }

    /** Takes the pending request and returns true if the caller must run the task now. */
    private synchronized boolean takeRequest() {
        if (heldBack || running || !requested) {
            return false;
        }
        requested = false;
        running = true;
        return true;
    }

    private synchronized void markFinished() {
        running = false;
    }
}
