package lemondrift.lab.simulation;

/** Runs tasks at scheduled times, in seconds since the start of a run, in virtual or real time. */
public interface Scheduler {
    /** A scheduled task. */
    interface Entry {
        /** Prevents the task from running; does nothing if it has already run. */
        void cancel();
    }

    /** Returns the current time in seconds. */
    double now();

    /** Schedules a task for a time, or for the current time if that has passed. */
    Entry at(double time, Runnable task);

    /** Schedules a task after a delay in seconds. */
    default Entry after(double seconds, Runnable task) {
        return at(now() + seconds, task);
    }
}
