package lemondrift.proxy.lifecycle;

/**
 * A task that is run at request, one run at a time: all requests that come during a run, or while
 * it is held back, cost one more run together. Any thread may request it; whoever finds no run
 * going on runs it on its own thread.
 */
final class CoalescingTask {
    private final Runnable task;
    private boolean heldBack = true;
    private boolean requested;
    private boolean running;

    /** One that is held back until {@link #release}. */
    CoalescingTask(Runnable task) {
        this.task = task;
    }

    /** Runs the task, unless another thread does or it is held back; then it is run later. */
    void request() {
        synchronized (this) {
            requested = true;
        }
        runWhileRequested();
    }

    /** Holds the task back no longer, and runs it if it was requested meanwhile. */
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

    /** Whether the caller is to run the task now. */
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
