package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import lemondrift.model.Settings;

/**
 * A simulated backend: its cores, one queue of waiting requests, and the state of the faults that
 * affect it.
 */
public final class Backend {
    /** One request that the backend holds. */
    public static final class Job {
        private final double workSeconds;
        private final JobListener listener;

        /** The scheduled completion; null while the job waits for a core. */
        private Scheduler.Entry completion;

        private boolean dropped;

        private Job(double workSeconds, JobListener listener) {
            this.workSeconds = workSeconds;
            this.listener = listener;
        }
    }

    /** Called once when a job ends, unless the job was dropped. */
    @FunctionalInterface
    public interface JobListener {
        /**
         * Handles the end of a job.
         *
         * @param completed true if the job ran to its end; false if it was reset because the
         *     backend's process ended
         */
        void jobEnded(boolean completed);
    }

    /** The time constant of the moving average of the utilization, in seconds. */
    private static final double UTILIZATION_AVERAGE_SECONDS = 0.1;

    /** The maximum number of waiting requests per core. */
    private static final int MAX_WAITING_PER_CORE = 20;

    private final Scheduler scheduler;
    private final int cores;
    private final Settings.Rules rules;

    /** The work that arrived while the backend was cold. */
    private final WorkWindow coldWork;

    private final Deque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private double startedAt = Double.NEGATIVE_INFINITY;
    private double stalledUntil;

    /** The moving average of the share of busy cores, as of {@link #utilizationAt}. */
    private double utilization;

    private double utilizationAt;

    /** The number of active faults that keep the process down. */
    int activeDownFaults;

    /**
     * The number of active faults that make the machine silent: connections are neither established
     * nor broken.
     */
    public int activeSilenceFaults;

    /** The factor by which active faults lengthen all work; 1 without faults. */
    double faultSlowdown = 1;

    /**
     * The share of all requests that fail because of active faults, from 0; above 1 if faults
     * overlap.
     */
    public double faultErrorShare;

    /**
     * The additional failing share of the requests of the last request class, from 0; above 1 if
     * faults overlap.
     */
    public double lastClassFaultErrorShare;

    /**
     * Creates a backend that is warm and idle.
     *
     * @param rules how a cold backend warms up and when it is overloaded
     */
    public Backend(Scheduler scheduler, int cores, Settings.Rules rules) {
        this.scheduler = scheduler;
        this.cores = cores;
        this.rules = rules;
        coldWork = new WorkWindow(rules.overloadWindowSeconds());
    }

    /** Returns whether the process is up, regardless of whether the machine is silent. */
    public boolean isUp() {
        return activeDownFaults == 0;
    }

    /** Returns whether the process is up and the machine is not silent. */
    public boolean isAvailable() {
        return isUp() && activeSilenceFaults == 0;
    }

    /** Returns the current share of the full capacity, 0 to 1; below 1 during slow start. */
    private double capacityShare() {
        double warmedShare = (scheduler.now() - startedAt) / rules.slowStartSeconds();
        return warmedShare >= 1
                ? 1
                : rules.slowStartMinShare()
                        + (1 - rules.slowStartMinShare()) * Math.max(0, warmedShare);
    }

    /**
     * Adds work, in seconds of one warm core, and returns whether it overloads a cold backend:
     * whether more work arrived within the overload window than the backend can handle. A warm
     * backend is never overloaded.
     */
    public boolean addWorkAndCheckOverload(double workSeconds) {
        double capacityShare = capacityShare();
        if (capacityShare == 1) {
            coldWork.clear();
            return false;
        }
        coldWork.add(scheduler.now(), workSeconds);
        return coldWork.exceeds(
                rules.overloadFactor() * capacityShare * cores * rules.overloadWindowSeconds());
    }

    /** Returns whether the queue is full. */
    public boolean isFull() {
        return waiting.size() >= MAX_WAITING_PER_CORE * cores;
    }

    /**
     * Returns the share of the requests of a class that fail because of active faults; all of them
     * fail if it is 1 or more.
     */
    double errorShare(boolean isLastClass) {
        return Math.max(faultErrorShare, isLastClass ? lastClassFaultErrorShare : 0);
    }

    /** Returns how many times longer work takes now than on a warm backend without faults. */
    public double serviceTimeFactor() {
        return faultSlowdown / capacityShare();
    }

    /**
     * Returns the running and waiting requests per core, multiplied by {@link #serviceTimeFactor},
     * plus the remaining seconds of a stall.
     */
    double load() {
        return (waiting.size() + running.size()) / (double) cores * serviceTimeFactor()
                + Math.max(0, stalledUntil - scheduler.now());
    }

    /** Returns the number of running and waiting requests. */
    public int heldRequestCount() {
        return running.size() + waiting.size();
    }

    /** Returns the number of requests that wait for a core. */
    public int queuedRequestCount() {
        return waiting.size();
    }

    /** Returns the moving average of the share of busy cores, 0 to 1. */
    public double utilization() {
        updateUtilization();
        return Math.min(1, utilization);
    }

    /** Updates the moving average. Must be called before the number of running jobs changes. */
    private void updateUtilization() {
        double share = Math.exp((utilizationAt - scheduler.now()) / UTILIZATION_AVERAGE_SECONDS);
        utilization = utilization * share + (1 - share) * running.size() / cores;
        utilizationAt = scheduler.now();
    }

    /**
     * Accepts a request and starts it if a core is free; its work is in seconds of one warm core.
     */
    public Job submit(double workSeconds, JobListener listener) {
        Job job = new Job(workSeconds, listener);
        waiting.add(job);
        startWaitingJobs();
        return job;
    }

    private void startWaitingJobs() {
        while (!waiting.isEmpty() && running.size() < cores && isUp()) {
            updateUtilization();
            Job job = waiting.remove();
            running.add(job);
            double startAt = Math.max(scheduler.now(), stalledUntil);
            double durationSeconds = job.workSeconds * faultSlowdown / capacityShare();
            job.completion = scheduler.at(startAt + durationSeconds, () -> complete(job));
        }
    }

    private void complete(Job job) {
        if (scheduler.now() < stalledUntil) {
            job.completion = scheduler.at(stalledUntil, () -> complete(job));
            return;
        }
        updateUtilization();
        running.remove(job);
        if (!job.dropped) {
            job.listener.jobEnded(true);
        }
        startWaitingJobs();
    }

    /**
     * Drops a job whose result is no longer needed: it is removed from the queue, or runs to its
     * end without a call of its listener if it has started.
     */
    public void drop(Job job) {
        job.dropped = true;
        waiting.remove(job);
    }

    /** Completes no job until a time, in seconds of the scheduler. */
    void stall(double until) {
        stalledUntil = Math.max(stalledUntil, until);
    }

    /**
     * Ends the process, which loses all jobs.
     *
     * @param resetsJobs whether the listeners of the jobs are called; if false, the jobs end
     *     without a call
     */
    void terminate(boolean resetsJobs) {
        updateUtilization();
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        for (Job job : lost) {
            if (job.completion != null) {
                job.completion.cancel();
            }
            if (resetsJobs && !job.dropped) {
                job.listener.jobEnded(false);
            }
        }
    }

    /** Restarts the process, cold and idle. */
    void restart() {
        startedAt = scheduler.now();
        coldWork.clear();
        utilization = 0;
        utilizationAt = scheduler.now();
        startWaitingJobs();
    }
}
