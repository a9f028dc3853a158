package lemondrift.lab.fleet;

import java.util.List;

/** Lets the faults of processes fall on the proxies. I/O thread only. */
final class ProcessFaultInjector {
    /** In how many steps a rolling restart of the fleet is done. */
    private static final int ROLLING_RESTART_STEPS = 10;

    /** How many reloads one fault makes, evenly over its duration. */
    private static final int RELOADS_PER_FAULT = 4;

    /** Signals within milliseconds. */
    private static final List<String> RELOAD_SIGNALS = List.of("HUP", "HUP", "HUP");

    /**
     * Signals within milliseconds: reloads just before and just after the end, which comes twice.
     */
    private static final List<String> TERMINATION_SIGNALS =
            List.of("HUP", "HUP", "TERM", "HUP", "HUP", "TERM", "HUP");

    /** When signals come during a start: before the JVM runs, as it begins, in the warm-up. */
    private static final double[] START_SIGNAL_DELAYS_SECONDS = {0.015, 0.06, 0.12, 0.25};

    private final RealTimeScheduler scheduler;
    private final ProxyLifecycle lifecycle;

    ProcessFaultInjector(RealTimeScheduler scheduler, ProxyLifecycle lifecycle) {
        this.scheduler = scheduler;
        this.lifecycle = lifecycle;
    }

    /** Starts a fault now; the clients are those that use a proxy until it is killed. */
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
                    throw new IllegalStateException(drawn.fault().kind() + " falls on no process");
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

    /** Delays count from the moment at which the process was started. */
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
