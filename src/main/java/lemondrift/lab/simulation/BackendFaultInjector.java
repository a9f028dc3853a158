package lemondrift.lab.simulation;

import java.util.Arrays;
import lemondrift.model.EndpointUpdate;
import org.apache.commons.rng.UniformRandomProvider;

/** Applies faults to backends, traffic and discovery, both in virtual time and on real sockets. */
public final class BackendFaultInjector {
    /** Receives the effects of faults beyond the backends' own state. */
    public interface Host {
        /** Announces the state of a backend through discovery. */
        void announce(int backend, EndpointUpdate.State state);

        /**
         * Handles the end of a backend's process or the silence of its machine.
         *
         * @param resetsRequests whether its requests were reset; if false, they get no further
         *     response
         */
        default void processEnded(int backend, boolean resetsRequests) {}

        /** Handles the restart of a backend's process, which is idle and cold. */
        void processRestarted(int backend);

        /** Stops the announcements of discovery for a time in seconds. */
        void silenceDiscovery(double seconds);
    }

    /**
     * The time between the end of a replaced process and the start of its successor, in seconds.
     */
    private static final double REPLACEMENT_DOWNTIME_SECONDS = 0.1;

    /**
     * The time for which a replaced backend drains, beyond twice the delay of discovery, in
     * seconds.
     */
    private static final double DRAIN_MARGIN_SECONDS = 1;

    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final Backend[] backends;
    private final double discoveryDelaySeconds;
    private final Host host;

    /** The factor by which active faults increase the request rate; 1 without faults. */
    public double trafficFactor = 1;

    /** The factor by which active faults increase the work of a request; 1 without faults. */
    public double workFactor = 1;

    /**
     * Creates an injector for the given backends.
     *
     * @param discoveryDelaySeconds the mean delay of discovery
     */
    public BackendFaultInjector(
            Scheduler scheduler,
            UniformRandomProvider random,
            Backend[] backends,
            double discoveryDelaySeconds,
            Host host) {
        this.scheduler = scheduler;
        this.random = random;
        this.backends = backends;
        this.discoveryDelaySeconds = discoveryDelaySeconds;
        this.host = host;
    }

    /** Draws the backends that a fault affects: the fault's share of all backends, at least one. */
    private int[] drawBackends(BackendFault fault) {
        int[] order = new int[backends.length];
        Arrays.setAll(order, i -> i);
        for (int i = order.length - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            int swapped = order[i];
            order[i] = order[j];
            order[j] = swapped;
        }
        int count = (int) Math.max(1, fault.share() * order.length + 0.5);
        return Arrays.copyOf(order, Math.min(order.length, count));
    }

    /** Starts a fault now and schedules its end after its duration. */
    public void startFault(BackendFault fault) {
        switch (fault.kind()) {
            case BURST -> {
                trafficFactor *= fault.strength();
                scheduler.after(fault.durationSeconds(), () -> trafficFactor /= fault.strength());
            }
            case HEAVY -> {
                workFactor *= fault.strength();
                scheduler.after(fault.durationSeconds(), () -> workFactor /= fault.strength());
            }
            case SILENCE -> host.silenceDiscovery(fault.durationSeconds());
            case DEPLOY -> startDeploy(fault);
            default -> {
                for (int backend : drawBackends(fault)) {
                    startOnBackend(fault, backend);
                }
            }
        }
    }

    /** Replaces the backends one after another, evenly over the duration of the fault. */
    private void startDeploy(BackendFault fault) {
        int[] drawn = drawBackends(fault);
        for (int k = 0; k < drawn.length; k++) {
            int backend = drawn[k];
            scheduler.after(
                    fault.durationSeconds() * k / drawn.length,
                    () -> replace(backend, fault.durationSeconds() / drawn.length));
        }
    }

    private void startOnBackend(BackendFault fault, int index) {
        Backend backend = backends[index];
        switch (fault.kind()) {
            case CRASH -> {
                takeDown(index, true);
                scheduler.after(fault.durationSeconds(), () -> restart(index));
            }
            case VANISH -> {
                backend.activeSilenceFaults++;
                takeDown(index, false);
                scheduler.after(
                        fault.durationSeconds(),
                        () -> {
                            backend.activeSilenceFaults--;
                            restart(index);
                        });
            }
            case STALL -> backend.stall(scheduler.now() + fault.durationSeconds());
            case SLOW -> {
                backend.faultSlowdown *= fault.strength();
                scheduler.after(
                        fault.durationSeconds(), () -> backend.faultSlowdown /= fault.strength());
            }
            case ERRORS -> {
                backend.faultErrorShare += fault.strength();
                scheduler.after(
                        fault.durationSeconds(), () -> backend.faultErrorShare -= fault.strength());
            }
            case GRADE -> {
                backend.lastClassFaultErrorShare += fault.strength();
                scheduler.after(
                        fault.durationSeconds(),
                        () -> backend.lastClassFaultErrorShare -= fault.strength());
            }
            default ->
                    throw new IllegalStateException(
                            fault.kind() + " is not a fault of single backends");
        }
    }

    /**
     * Ends the process of a backend, unless another fault already keeps it down.
     *
     * @param resetsRequests whether its requests are reset; if false, they get no further response
     */
    public void takeDown(int backend, boolean resetsRequests) {
        if (backends[backend].activeDownFaults++ == 0) {
            backends[backend].terminate(resetsRequests);
            host.processEnded(backend, resetsRequests);
            host.announce(backend, EndpointUpdate.State.GONE);
        }
    }

    /**
     * Ends one fault that keeps a backend down, and restarts the backend if it was the last one.
     */
    private void restart(int backend) {
        if (--backends[backend].activeDownFaults == 0) {
            backends[backend].restart();
            host.processRestarted(backend);
            host.announce(backend, EndpointUpdate.State.READY);
        }
    }

    private void replace(int backend, double withinSeconds) {
        host.announce(backend, EndpointUpdate.State.DRAINING);
        double drainSeconds =
                Math.min(withinSeconds, 2 * discoveryDelaySeconds + DRAIN_MARGIN_SECONDS);
        scheduler.after(
                drainSeconds,
                () -> {
                    takeDown(backend, true);
                    scheduler.after(REPLACEMENT_DOWNTIME_SECONDS, () -> restart(backend));
                });
    }
}
