package lemondrift.proxy;

/** Threads of stand-ins, which end with the test's process at the latest. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /** What a thread does; an exception ends it. */
    public interface Task {
        /** Runs until its socket is closed by either side. */
        void run() throws Exception;
    }

    /** Runs a task on a daemon thread of its own. */
    public static void startDaemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The stand-in is closed, or the other side is.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
