package lemondrift.proxy;

/** Starts the threads of test servers. They end with the test process at the latest. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /** The task of a thread. An exception ends it. */
    public interface Task {
        /** Runs until either side closes the socket. */
        void run() throws Exception;
    }

    /** Runs a task on a new daemon thread. */
    public static void startDaemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // Either side has closed the socket.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
