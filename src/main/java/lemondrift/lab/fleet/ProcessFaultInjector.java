package lemondrift.lab.fleet;

/** Lets the faults of processes fall on the proxies. I/O thread only. */
final class ProcessFaultInjector {
    /** In how many steps a rolling restart of the fleet is done. */
    private static final int ROLL_STEPS = 10;

    /** How many reloads one fault makes, evenly over its duration. */
    private static final int RELOADS = 4;

    private final RealTimeScheduler scheduler;
    private final ProxyLifecycle lifecycle;

    ProcessFaultInjector(RealTimeScheduler scheduler, ProxyLifecycle lifecycle) {
        this.scheduler = scheduler;
        this.lifecycle = lifecycle;
    }

    /** Starts a fault now; the clients are those that use a proxy until it is killed. */
    void inject(FaultPlan.DrawnFault drawn, ClientFleet clients) {
        int[] proxies = drawn.affectedProxies();
        double durationSeconds = drawn.fault().lasts();
        switch (drawn.fault().kind()) {
            case KILL -> kill(proxies, durationSeconds);
            case STOP -> stop(proxies, durationSeconds);
            case PAUSE -> pause(proxies, durationSeconds);
            case ROLL -> roll(proxies, durationSeconds);
            case TERMINATE -> terminate(proxies, durationSeconds, clients);
            case HANG_UP -> reload(proxies, durationSeconds);
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

    private void roll(int[] proxies, double durationSeconds) {
        for (int i = 0; i < proxies.length; i++) {
            int proxy = proxies[i];
            int step = i * ROLL_STEPS / proxies.length;
            scheduler.after(
                    durationSeconds / ROLL_STEPS * step,
                    () -> {
                        lifecycle.stop(proxy);
                        lifecycle.restart(proxy);
                    });
        }
    }

    private void terminate(int[] proxies, double durationSeconds, ClientFleet clients) {
        for (int proxy : proxies) {
            lifecycle.terminate(proxy, clients);
            scheduler.after(durationSeconds, () -> lifecycle.restart(proxy));
        }
    }

    private void reload(int[] proxies, double durationSeconds) {
        for (int i = 0; i < RELOADS; i++) {
            scheduler.after(durationSeconds * i / RELOADS, () -> reload(proxies));
        }
    }

    private void reload(int[] proxies) {
        for (int proxy : proxies) {
            lifecycle.reload(proxy);
        }
    }
}
