package lemondrift.proxy.health;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the tasks that have to go on for as long as the proxy serves. An error in one is logged and
 * counted, and ends neither later runs nor the thread. A task that fails again and again makes the
 * proxy unhealthy. May be used on any thread.
 */
public final class TaskMonitor {
    /** The tasks. Their names are the keys of {@link #json}. */
    public enum Task {
        /** Closes client connections that are overdue. */
        CONNECTION_SWEEP,
        /** Closes client connections where there are too many. */
        CONNECTION_EVICTION,
        /** Ends requests that are past their deadline, whatever delays the balancer. */
        OVERDUE_REQUESTS,
        /** Closes idle connections to backends. */
        BACKEND_CONNECTION_SWEEP,
        /** Reads datagrams of other proxies. */
        GOSSIP_RECEIVE,
        /** Takes over what the datagrams say. */
        GOSSIP_PROCESS,
        /** Advances recovery and sends datagrams to other proxies. */
        GOSSIP_SEND,
        /** Decides about requests. */
        DECISIONS,
        /** Hands what was decided to the I/O thread. */
        ACTIONS,
        /** Looks for another process of this proxy. */
        RESOURCE_SHARING
    }

    private static final Logger LOG = LoggerFactory.getLogger(TaskMonitor.class);

    private static final Task[] TASKS = Task.values();

    /** How many failures of one task within {@link #UNHEALTHY_SECONDS} make the proxy unhealthy. */
    private static final int UNHEALTHY_FAILURES = 3;

    /** For how many seconds a failure counts for {@link #isHealthy}. */
    private static final double UNHEALTHY_SECONDS = 10;

    /** Minimum seconds between two log lines about one task. */
    private static final double LOG_INTERVAL_SECONDS = 1;

    /** The failures of one task. */
    private static final class Failures {
        long count;
        double loggedAt = Double.NEGATIVE_INFINITY;

        /** When the task failed the last times; the next failure replaces the oldest. */
        final double[] latestAt = new double[UNHEALTHY_FAILURES];

        void add(double now) {
            latestAt[(int) (count % UNHEALTHY_FAILURES)] = now;
            count++;
        }

        boolean isFailingAgainAndAgain(double now) {
            return count >= UNHEALTHY_FAILURES
                    && now - latestAt[(int) (count % UNHEALTHY_FAILURES)] < UNHEALTHY_SECONDS;
        }
    }

    private final MonotonicClock clock;
    private final Map<Task, Failures> failuresByTask = new EnumMap<>(Task.class);

    /** Creates a monitor of tasks that have not failed. */
    public TaskMonitor(MonotonicClock clock) {
        this.clock = clock;
        for (Task task : TASKS) {
            failuresByTask.put(task, new Failures());
        }
    }

    /** Runs a task once. Returns whether it succeeded; throws nothing. */
    public boolean run(Task task, Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException | Error e) {
            // Catches every exception and error: whatever the cause, the task has to run again.
            failed(task, e);
            return false;
        }
    }

    private synchronized void failed(Task task, Throwable cause) {
        double now = clock.now();
        Failures failures = failuresByTask.get(task);
        failures.add(now);
        if (now >= failures.loggedAt + LOG_INTERVAL_SECONDS) {
            failures.loggedAt = now;
            LOG.error("task {} failed, times since the start: {}", task, failures.count, cause);
        }
    }

    /** Returns a task that {@link #run} runs. */
    public Runnable monitored(Task task, Runnable action) {
        return () -> run(task, action);
    }

    /** Returns whether no task has failed again and again of late. */
    public synchronized boolean isHealthy() {
        double now = clock.now();
        return failuresByTask.values().stream()
                .noneMatch(failures -> failures.isFailingAgainAndAgain(now));
    }

    /** Returns how many times each task has failed, as JSON. */
    public synchronized String json() {
        return Arrays.stream(TASKS)
                .map(task -> "\"" + task + "\":" + failuresByTask.get(task).count)
                .collect(Collectors.joining(",", "{", "}"));
    }
}
