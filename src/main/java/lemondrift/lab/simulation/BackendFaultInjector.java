package lemondrift.lab.simulation;

import java.util.Arrays;
import lemondrift.model.EndpointUpdate;
import org.apache.commons.rng.UniformRandomProvider;

/** Has a day's troubles fall on its backends, in virtual time and on sockets alike. */
public final class BackendFaultInjector {
    /** Who plays the day. */
    public interface Host {
        /** Discovery has something to tell of a backend. */
        void announce(int backend, EndpointUpdate.State state);

        /**
         * A backend's process or machine is gone; what it held is reset, or nothing is ever told of
         * it.
         */
        default void died(int backend, boolean tells) {}

        /** A backend's process has started again, empty and cold. */
        void restarted(int backend);

        /** Discovery says nothing for so many seconds. */
        void silenceDiscovery(double seconds);
    }

    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final Backend[] backends;
    private final double delay;
    private final Host host;

    /** By how much traffic and the work of a request are more than usual now. */
    public double traffic = 1;

    public double heavy = 1;

    /**
     * The delay is that of discovery, in seconds; one that is replaced is drained for longer first.
     */
    public BackendFaultInjector(
            Scheduler scheduler,
            UniformRandomProvider random,
            Backend[] backends,
            double delay,
            Host host) {
        this.scheduler = scheduler;
        this.random = random;
        this.backends = backends;
        this.delay = delay;
        this.host = host;
    }

    private int[] fallsOn(BackendFault trouble) {
        int[] all = new int[backends.length];
        Arrays.setAll(all, i -> i);
        for (int i = all.length - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            int other = all[i];
            all[i] = all[j];
            all[j] = other;
        }
        int many = (int) Math.max(1, trouble.share() * all.length + 0.5);
        return Arrays.copyOf(all, Math.min(all.length, many));
    }

    /** It begins now, and ends by itself. */
    public void begins(BackendFault trouble) {
        double end = trouble.lasts();
        switch (trouble.kind()) {
            case BURST -> {
                traffic *= trouble.strength();
                scheduler.after(end, () -> traffic /= trouble.strength());
            }
            case HEAVY -> {
                heavy *= trouble.strength();
                scheduler.after(end, () -> heavy /= trouble.strength());
            }
            case SILENCE -> host.silenceDiscovery(end);
            case DEPLOY -> {
                int[] all = fallsOn(trouble);
                for (int k = 0; k < all.length; k++) {
                    int i = all[k];
                    scheduler.after(end * k / all.length, () -> replace(i, end / all.length));
                }
            }
            default -> {
                for (int i : fallsOn(trouble)) {
                    begins(trouble, i, backends[i]);
                }
            }
        }
    }

    private void begins(BackendFault trouble, int i, Backend backend) {
        switch (trouble.kind()) {
            case CRASH -> {
                dies(i, true);
                scheduler.after(trouble.lasts(), () -> comesBack(i));
            }
            case VANISH -> {
                backend.silent++;
                dies(i, false);
                scheduler.after(
                        trouble.lasts(),
                        () -> {
                            backend.silent--;
                            comesBack(i);
                        });
            }
            case STALL -> backend.stall(scheduler.now() + trouble.lasts());
            case SLOW -> {
                backend.slow *= trouble.strength();
                scheduler.after(trouble.lasts(), () -> backend.slow /= trouble.strength());
            }
            case ERRORS -> {
                backend.errors += trouble.strength();
                scheduler.after(trouble.lasts(), () -> backend.errors -= trouble.strength());
            }
            case GRADE -> {
                backend.classErrors += trouble.strength();
                scheduler.after(trouble.lasts(), () -> backend.classErrors -= trouble.strength());
            }
            default -> throw new IllegalStateException(trouble.kind() + " falls on no backend");
        }
    }

    /** What it held is reset, or where nothing is told of its end, never heard of again. */
    public void dies(int i, boolean tells) {
        if (backends[i].dead++ == 0) {
            backends[i].dies(tells);
            host.died(i, tells);
            host.announce(i, EndpointUpdate.State.GONE);
        }
    }

    /**
     * Two troubles that hold it down may end at the same instant: it comes back with the last of
     * them.
     */
    private void comesBack(int i) {
        if (--backends[i].dead == 0) {
            backends[i].restarts();
            host.restarted(i);
            host.announce(i, EndpointUpdate.State.READY);
        }
    }

    private void replace(int i, double within) {
        host.announce(i, EndpointUpdate.State.DRAINING);
        scheduler.after(
                Math.min(within, 2 * delay + 1),
                () -> {
                    dies(i, true);
                    scheduler.after(0.1, () -> comesBack(i));
                });
    }
}
