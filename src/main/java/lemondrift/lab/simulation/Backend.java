package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import lemondrift.model.Settings;

/** A backend: cores, one queue before them, and the faults that fall on it. */
public final class Backend {
    /** One request that the backend holds. */
    public static final class Job {
        private final double workSeconds;
        private final JobListener listener;

        /** Its completion as scheduled; null while it waits. */
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
         * A job has ended.
         *
         * @param completed whether it ran to its end; else it was reset with the backend's process
         */
        void jobEnded(boolean completed);
    }

    /** The time constant of the moving average of the utilization, in seconds. */
    private static final double UTILIZATION_AVERAGE_SECONDS = 0.1;

    /** How many requests may wait for each core. */
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

    /** The share of busy cores, a moving average as of {@link #utilizationAt}. */
    private double utilization;

    private double utilizationAt;

    /** How many faults hold the process down now. */
    int activeDownFaults;

    /** How many faults make the machine silent now: connections neither come up nor break. */
    public int activeSilenceFaults;

    /** How many times as long as usual all work takes now. */
    double faultSlowdown = 1;

    /** The share of all requests that fail by faults now, 0 to 1 or more where faults overlap. */
    public double faultErrorShare;

    /** The same for the requests of the last class alone. */
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

    /** Whether its process is up, be its machine silent or not. */
    public boolean isUp() {
        return activeDownFaults == 0;
    }

    /** Whether its process is up and its machine not silent. */
    public boolean isAvailable() {
        return isUp() && activeSilenceFaults == 0;
    }

    /** The share of its full capacity that it has now, 0 to 1. */
    private double capacityShare() {
        double warmedShare = (scheduler.now() - startedAt) / rules.slowStartSeconds();
        return warmedShare >= 1
                ? 1
                : rules.slowStartMinShare()
                        + (1 - rules.slowStartMinShare()) * Math.max(0, warmedShare);
    }

    /**
     * Adds work, in seconds of one warm core, and returns whether it overloads a cold backend: more
     * came within the overload window than the backend can bear.
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

    /** Whether its queue is full. */
    public boolean isFull() {
        return waiting.size() >= MAX_WAITING_PER_CORE * cores;
    }

    /** The share of the requests of a class that fail by faults now; above 1 all do. */
    double errorShare(boolean isLastClass) {
        return Math.max(faultErrorShare, isLastClass ? lastClassFaultErrorShare : 0);
    }

    /** How many times as long as on a warm backend without faults its work takes now. */
    public double serviceTimeFactor() {
        return faultSlowdown / capacityShare();
    }

    /** The requests that it holds for each core, over its present speed; stalls add to it. */
    double load() {
        return (waiting.size() + running.size()) / (double) cores * serviceTimeFactor()
                + Math.max(0, stalledUntil - scheduler.now());
    }

    /** How many requests it holds, running and waiting. */
    public int heldRequestCount() {
        return running.size() + waiting.size();
    }

    /** How many requests wait for a core. */
    public int queuedRequestCount() {
        return waiting.size();
    }

    /** The share of its cores that are busy, a moving average, 0 to 1. */
    public double utilization() {
        updateUtilization();
        return Math.min(1, utilization);
    }

    /** Must be called before the number of running jobs changes. */
    private void updateUtilization() {
        double share = Math.exp((utilizationAt - scheduler.now()) / UTILIZATION_AVERAGE_SECONDS);
        utilization = utilization * share + (1 - share) * running.size() / cores;
        utilizationAt = scheduler.now();
    }

    /** Accepts a request whose work is given in seconds of one warm core. */
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

    /** Drops a job that nobody waits for: it leaves the queue, or runs on where it has started. */
    public void drop(Job job) {
        job.dropped = true;
        waiting.remove(job);
    }

    /** Stands still until a time, in seconds of the scheduler. */
    void stall(double until) {
        stalledUntil = Math.max(stalledUntil, until);
    }

    /**
     * The process ends and loses all jobs.
     *
     * @param resetsJobs whether the listeners are called; else nothing is heard of the jobs any
     *     more
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

    /** The process starts again, cold and idle. */
    void restart() {
        startedAt = scheduler.now();
        coldWork.clear();
        utilization = 0;
        utilizationAt = scheduler.now();
        startWaitingJobs();
    }
}
