package lemondrift.lab.fleet;

import java.util.List;

/** Applies the faults of processes to the proxies. I/O thread only. */
final class ProcessFaultInjector {
    /** The number of steps of a rolling restart of the fleet. */
    private static final int ROLLING_RESTART_STEPS = 10;

    /** The number of reloads that one fault causes, evenly distributed over its duration. */
    private static final int RELOADS_PER_FAULT = 4;

    /** Signals that are sent within milliseconds. */
    private static final List<String> RELOAD_SIGNALS = List.of("HUP", "HUP", "HUP");

    /**
     * Signals that are sent within milliseconds: reloads just before and just after SIGTERM, which
     * is sent twice.
     */
    private static final List<String> TERMINATION_SIGNALS =
            List.of("HUP", "HUP", "TERM", "HUP", "HUP", "TERM", "HUP");

    /**
     * The delays of signals after the start of a process: before the JVM runs, when it begins, and
     * during the warm-up.
     */
    private static final double[] START_SIGNAL_DELAYS_SECONDS = {0.015, 0.06, 0.12, 0.25};

    private final RealTimeScheduler scheduler;
    private final ProxyLifecycle lifecycle;

    ProcessFaultInjector(RealTimeScheduler scheduler, ProxyLifecycle lifecycle) {
        this.scheduler = scheduler;
        this.lifecycle = lifecycle;
    }

    /**
     * Starts a fault now.
     *
     * @param clients the clients that use a terminated proxy until it is killed
     * @throws IllegalStateException if the fault is not a fault of processes
     */
    void inject(FaultPlan.DrawnFault drawn, ClientFleet clients) {
        int[] proxies = drawn.affectedProxies();
        double durationSeconds = drawn.fault().durationSeconds();
        switch (drawn.fault().kind()) {
            case KILL -> kill(proxies, durationSeconds);
            case STOP -> stop(proxies, durationSeconds);
            case PAUSE -> pause(proxies, durationSeconds);
            case ROLL -> rollingRestart(proxies, durationSeconds);
            case TERMINATE -> terminate(proxies, durationSeconds, clients);
            case HANG_UP -> reload(proxies, durationSeconds);
            case SIGNAL_SERIES -> terminateWithSignalSeries(proxies, durationSeconds, clients);
            case INTERRUPTED_START -> interruptStart(proxies, durationSeconds);
            default ->
                    throw new IllegalStateException(
                            drawn.fault().kind() + " is not a fault of processes");
        }
    }

    private void kill(int[] proxies, double durationSeconds) {
        for (int proxy : proxies) {
            lifecycle.kill(proxy);
            scheduler.after(durationSeconds, () -> lifecycle.restart(proxy));
        }
    }

    private void stop(int[] proxies, double durationSeconds) {
        for (int proxy : proxies) {
            lifecycle.stop(proxy);
            scheduler.after(durationSeconds, () -> lifecycle.restart(proxy));
        }
    }

    private void pause(int[] proxies, double durationSeconds) {
        for (int proxy : proxies) {
            lifecycle.pause(proxy);
            scheduler.after(durationSeconds, () -> lifecycle.resume(proxy));
        }
    }

    private void rollingRestart(int[] proxies, double durationSeconds) {
        for (int i = 0; i < proxies.length; i++) {
            int proxy = proxies[i];
            int step = i * ROLLING_RESTART_STEPS / proxies.length;
            scheduler.after(
                    durationSeconds / ROLLING_RESTART_STEPS * step,
                    () -> {
                        lifecycle.stop(proxy);
                        lifecycle.restart(proxy);
                    });
        }
    }

    private void terminate(int[] proxies, double durationSeconds, ClientFleet clients) {
        for (int proxy : proxies) {
            lifecycle.terminate(proxy, clients, List.of("TERM"));
            scheduler.after(durationSeconds, () -> lifecycle.restart(proxy));
        }
    }

    private void terminateWithSignalSeries(
            int[] proxies, double durationSeconds, ClientFleet clients) {
        for (int proxy : proxies) {
            lifecycle.terminate(proxy, clients, TERMINATION_SIGNALS);
            scheduler.after(
                    durationSeconds,
                    () ->
                            lifecycle.restart(
                                    proxy,
                                    () -> reloadDuringStart(proxy, START_SIGNAL_DELAYS_SECONDS)));
        }
    }

    /** Sends reload signals to a proxy; the delays count from the start of its process. */
    private void reloadDuringStart(int proxy, double[] delaysSeconds) {
        for (double delaySeconds : delaysSeconds) {
            scheduler.after(delaySeconds, () -> lifecycle.signal(proxy, RELOAD_SIGNALS));
        }
    }

    private void interruptStart(int[] proxies, double durationSeconds) {
        for (int i = 0; i < proxies.length; i++) {
            int proxy = proxies[i];
            double delaySeconds =
                    START_SIGNAL_DELAYS_SECONDS[i % START_SIGNAL_DELAYS_SECONDS.length];
            lifecycle.kill(proxy);
            scheduler.after(
                    durationSeconds,
                    () -> lifecycle.restart(proxy, () -> stopDuringStart(proxy, delaySeconds)));
        }
    }

    private void stopDuringStart(int proxy, double delaySeconds) {
        scheduler.after(
                delaySeconds,
                () -> {
                    lifecycle.stopDuringStart(proxy);
                    lifecycle.restart(proxy);
                });
    }

    private void reload(int[] proxies, double durationSeconds) {
        for (int i = 0; i < RELOADS_PER_FAULT; i++) {
            scheduler.after(durationSeconds * i / RELOADS_PER_FAULT, () -> reload(proxies));
        }
    }

    private void reload(int[] proxies) {
        for (int proxy : proxies) {
            lifecycle.reload(proxy);
        }
    }
}
