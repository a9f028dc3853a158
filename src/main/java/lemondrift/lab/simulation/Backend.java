package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import lemondrift.model.Settings;

/** A backend: cores, one queue before them, and what may go wrong with it. */
public final class Backend {
    /** One request that it holds; the end hears once how it went, unless it is dropped. */
    public static final class Job {
        private final double work;
        private final Ended ended;
        private Scheduler.Entry end;
        private boolean dropped;

        private Job(double work, Ended ended) {
            this.work = work;
            this.ended = ended;
        }
    }

    /** How a job ended: whether it ran to its end. */
    public interface Ended {
        void ended(boolean ran);
    }

    /** Seconds over which utilisation is a mean, and requests that may wait for each core. */
    private static final double MEAN = 0.1;

    private static final int MOST_WAITING = 20;

    private final Scheduler scheduler;
    private final int cores;
    private final Settings.Rules rules;

    /**
     * Work that came while it was cold, with the time, within the window in which it may fall over.
     */
    private final Deque<double[]> coldWork = new ArrayDeque<>();

    private final Deque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private double startedAt = Double.NEGATIVE_INFINITY;
    private double stalledUntil;
    private double busy;
    private double busyAt;

    /** How many troubles of a kind are on it, and the slowest of those that slow it. */
    public int dead;

    public int silent;

    public double slow = 1;
    public double errors;
    public double classErrors;

    /**
     * Creates one that is warm and idle, with so many cores and the slow-start rules that it obeys.
     */
    public Backend(Scheduler scheduler, int cores, Settings.Rules rules) {
        this.scheduler = scheduler;
        this.cores = cores;
        this.rules = rules;
    }

    public boolean isUp() {
        return dead == 0;
    }

    /** The share of its capacity that it has now. */
    private double warmth() {
        double age = (scheduler.now() - startedAt) / rules.slowStartSeconds();
        return age >= 1
                ? 1
                : rules.slowStartMinShare() + (1 - rules.slowStartMinShare()) * Math.max(0, age);
    }

    /**
     * Whether this much more work pushes it over: cold, it got more in a window than it can bear.
     */
    public boolean fallsOver(double work) {
        double warmth = warmth();
        double now = scheduler.now();
        if (warmth == 1) {
            coldWork.clear();
            return false;
        }
        coldWork.add(new double[] {now, work});
        while (coldWork.peek()[0] < now - rules.overloadWindowSeconds()) {
            coldWork.remove();
        }
        return coldWork.size() > 1
                && coldWork.stream().mapToDouble(each -> each[1]).sum()
                        > rules.overloadFactor() * warmth * cores * rules.overloadWindowSeconds();
    }

    public boolean isFull() {
        return waiting.size() >= MOST_WAITING * cores;
    }

    /** How many times as long as usual its work takes now. */
    public double slowness() {
        return slow / warmth();
    }

    /** What it holds, by how much of its capacity it has now. */
    public double load() {
        return (waiting.size() + running.size()) / (double) cores * slowness()
                + Math.max(0, stalledUntil - scheduler.now());
    }

    /** Whether it is up and says something. */
    public boolean isFit() {
        return dead == 0 && silent == 0;
    }

    /** What it holds, at work and waiting. */
    public int held() {
        return running.size() + waiting.size();
    }

    public int queued() {
        return waiting.size();
    }

    /** How busy its cores are, a mean that fades. */
    public double utilisation() {
        count();
        return Math.min(1, busy);
    }

    private void count() {
        double share = Math.exp((busyAt - scheduler.now()) / MEAN);
        busy = busy * share + (1 - share) * running.size() / cores;
        busyAt = scheduler.now();
    }

    /** Takes a request whose work is so many seconds of a core of speed one. */
    public Job take(double work, Ended ended) {
        Job job = new Job(work, ended);
        waiting.add(job);
        start();
        return job;
    }

    private void start() {
        while (!waiting.isEmpty() && running.size() < cores && isUp()) {
            count();
            Job job = waiting.remove();
            running.add(job);
            double begins = Math.max(scheduler.now(), stalledUntil);
            job.end = scheduler.at(begins + job.work * slow / warmth(), () -> finish(job));
        }
    }

    private void finish(Job job) {
        if (scheduler.now() < stalledUntil) {
            // What was to end while all stands still ends when it goes on.
            job.end = scheduler.at(stalledUntil, () -> finish(job));
            return;
        }
        count();
        running.remove(job);
        if (!job.dropped) {
            job.ended.ended(true);
        }
        start();
    }

    /** Nobody waits for it any more: it is taken out where it waits, and goes on where it runs. */
    public void drop(Job job) {
        job.dropped = true;
        waiting.remove(job);
    }

    public void stall(double until) {
        stalledUntil = Math.max(stalledUntil, until);
    }

    /** The process is gone with all it held; of what is told, each has its end. */
    public void dies(boolean tells) {
        count();
        List<Job> held = new ArrayList<>(running);
        held.addAll(waiting);
        running.clear();
        waiting.clear();
        for (Job job : held) {
            if (job.end != null) {
                job.end.cancel();
            }
            if (tells && !job.dropped) {
                job.ended.ended(false);
            }
        }
    }

    /** Starts anew and cold, with nothing to do. */
    public void restarts() {
        startedAt = scheduler.now();
        coldWork.clear();
        busy = 0;
        busyAt = scheduler.now();
        start();
    }
}
