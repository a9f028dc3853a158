package lemondrift.lab.simulation;

/** Runs tasks at their time, in seconds from the start of a run, virtual or real. */
public interface Scheduler {
    /** One scheduled task. */
    interface Entry {
        /** Keeps the task from running; nothing happens where it has run. */
        void cancel();
    }

    /** The present time in seconds. */
    double now();

    /** Schedules a task for a time, or for now where that has passed. */
    Entry at(double time, Runnable task);

    /** Schedules a task for so many seconds from now. */
    default Entry after(double seconds, Runnable task) {
        return at(now() + seconds, task);
    }
}
