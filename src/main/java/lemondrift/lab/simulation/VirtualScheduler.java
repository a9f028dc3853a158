package lemondrift.lab.simulation;

import java.util.PriorityQueue;

/**
 * A scheduler in virtual time; tasks that are due at the same time run in the order in which they
 * were scheduled.
 */
final class VirtualScheduler implements Scheduler {
    private static final class ScheduledTask implements Entry, Comparable<ScheduledTask> {
        private final double dueAt;
        private final long sequence;

        /**
         * Null once cancelled, so that the objects that the task references can be freed before its
         * due time.
         */
        private Runnable task;

        private ScheduledTask(double dueAt, long sequence, Runnable task) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Double.compare(dueAt, other.dueAt);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private long lastSequence;
    private double now;

    @Override
    public double now() {
        return now;
    }

    @Override
    public Entry at(double time, Runnable task) {
        ScheduledTask entry = new ScheduledTask(Math.max(now, time), ++lastSequence, task);
        queue.add(entry);
        return entry;
    }

    /** Runs all tasks that are due until a time, including tasks that these tasks schedule. */
    void runUntil(double end) {
        while (!queue.isEmpty() && queue.peek().dueAt <= end) {
            ScheduledTask entry = queue.poll();
            now = entry.dueAt;
            if (entry.task != null) {
                entry.task.run();
            }
        }
        now = end;
    }
}
