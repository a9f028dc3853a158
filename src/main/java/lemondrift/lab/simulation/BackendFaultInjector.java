package lemondrift.lab.simulation;

import java.util.Arrays;
import lemondrift.model.EndpointUpdate;
import org.apache.commons.rng.UniformRandomProvider;

/** Has faults fall on backends, traffic and discovery, in virtual time and on sockets alike. */
public final class BackendFaultInjector {
    /** What the faults fall on beside the backends' own state. */
    public interface Host {
        /** Discovery is to announce the state of a backend. */
        void announce(int backend, EndpointUpdate.State state);

        /**
         * The process or machine of a backend has gone.
         *
         * @param resetsRequests whether what it held was reset; else nothing is heard of it any
         *     more
         */
        default void processEnded(int backend, boolean resetsRequests) {}

        /** The process of a backend has started again, idle and cold. */
        void processRestarted(int backend);

        /** Discovery says nothing for a time. */
        void silenceDiscovery(double seconds);
    }

    /** How long a replaced process is gone before its successor starts, in seconds. */
    private static final double REPLACEMENT_DOWNTIME_SECONDS = 0.1;

    /** How long a replaced backend drains beyond twice the delay of discovery, in seconds. */
    private static final double DRAIN_MARGIN_SECONDS = 1;

    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final Backend[] backends;
    private final double discoveryDelaySeconds;
    private final Host host;

    /** How many times as many requests as usual arrive now. */
    public double trafficFactor = 1;

    /** How many times as much work as usual a request costs now. */
    public double workFactor = 1;

    /** Creates an injector for these backends; the delay is that of discovery, in seconds. */
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

    /** Draws the backends that a fault falls on: its share of them, at least one. */
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

    /** A fault begins now; it ends by itself after its duration. */
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
            default -> throw new IllegalStateException(fault.kind() + " falls on no backend");
        }
    }

    /**
     * The process of a backend goes down, unless another fault holds it down already.
     *
     * @param resetsRequests whether what it held is reset; else nothing is heard of it any more
     */
    public void takeDown(int backend, boolean resetsRequests) {
        if (backends[backend].activeDownFaults++ == 0) {
            backends[backend].terminate(resetsRequests);
            host.processEnded(backend, resetsRequests);
            host.announce(backend, EndpointUpdate.State.GONE);
        }
    }

    /** Restarts a backend when the last of the faults that hold it down has ended. */
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
