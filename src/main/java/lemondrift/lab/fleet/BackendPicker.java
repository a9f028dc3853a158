package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Comparator;
import java.util.OptionalInt;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import lemondrift.lab.Baseline;
import lemondrift.settings.InvalidSettingsException;

/**
 * Picks a backend for each client request in a testbed without proxies. A baseline policy picks
 * among the backends that are available at that moment, which no proxy could know. I/O thread only.
 */
final class BackendPicker implements ClientTargets {
    /**
     * Upper bound of the random value that is added to the oracle's load estimates, so that ties
     * are broken randomly.
     */
    private static final double TIE_BREAK = 1e-3;

    /** Without proxies all clients use the addresses that the first proxy would use. */
    private static final int FIRST_PROXY = 0;

    private final Baseline.Kind policy;
    private final TestbedContext context;
    private final BackendFleet backendFleet;

    BackendPicker(Baseline.Kind policy, TestbedContext context, BackendFleet backendFleet) {
        this.policy = policy;
        this.context = context;
        this.backendFleet = backendFleet;
    }

    @Override
    public boolean areBackends() {
        return true;
    }

    @Override
    public InetSocketAddress address(int backend) {
        return backendFleet.addressForProxy(FIRST_PROXY, backend);
    }

    /**
     * Picks one of the available backends; empty if there is none.
     *
     * @throws InvalidSettingsException if the policy is not random, two_choices or oracle
     */
    @Override
    public OptionalInt pick(IntUnaryOperator inFlight) {
        int[] available =
                IntStream.range(0, backendFleet.backends.length)
                        .filter(i -> backendFleet.backends[i].isAvailable())
                        .toArray();
        if (available.length == 0) {
            return OptionalInt.empty();
        }
        int firstPick = available[context.random().nextInt(available.length)];
        int secondPick = available[context.random().nextInt(available.length)];
        return OptionalInt.of(
                switch (policy) {
                    case RANDOM -> firstPick;
                    case TWO_CHOICES ->
                            inFlight.applyAsInt(secondPick) < inFlight.applyAsInt(firstPick)
                                    ? secondPick
                                    : firstPick;
                    case ORACLE -> pickLeastLoaded(available, firstPick, inFlight);
                    default ->
                            throw new InvalidSettingsException(
                                    "the process testbed supports the policies random, two_choices"
                                            + " and oracle, not "
                                            + policy);
                });
    }

    private int pickLeastLoaded(int[] available, int preferred, IntUnaryOperator inFlight) {
        return Arrays.stream(available)
                .boxed()
                .min(Comparator.comparingDouble(i -> estimateLoad(i, preferred, inFlight)))
                .get();
    }

    /**
     * Estimates the load of a backend. Includes the requests that have not arrived at it yet:
     * otherwise all clients would pick the same backend.
     */
    private double estimateLoad(int backend, int preferred, IntUnaryOperator inFlight) {
        double load =
                inFlight.applyAsInt(backend) * backendFleet.backends[backend].serviceTimeFactor();
        return load + (backend == preferred ? 0 : TIE_BREAK * context.random().nextDouble());
    }

    @Override
    public boolean isOpen(int backend) {
        return true;
    }

    @Override
    public void reportUnreachable(int backend) {
        // The policy reads the state of the backends directly.
    }
}
