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
 * Clients without proxies: each request goes to a backend that a baseline policy picks among those
 * that are up, which no proxy could see. I/O thread only.
 */
final class BackendPicker implements ClientTargets {
    /** Up to how much is added to the estimates of the oracle, so that equal ones are drawn. */
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
     * Picks a backend.
     *
     * @throws InvalidSettingsException for a policy that is not played on processes
     */
    @Override
    public OptionalInt pick(IntUnaryOperator inFlight) {
        int[] reachable =
                IntStream.range(0, backendFleet.backends.length)
                        .filter(i -> backendFleet.backends[i].isAvailable())
                        .toArray();
        if (reachable.length == 0) {
            return OptionalInt.empty();
        }
        int firstPick = reachable[context.random().nextInt(reachable.length)];
        int secondPick = reachable[context.random().nextInt(reachable.length)];
        return OptionalInt.of(
                switch (policy) {
                    case RANDOM -> firstPick;
                    case TWO_CHOICES ->
                            inFlight.applyAsInt(secondPick) < inFlight.applyAsInt(firstPick)
                                    ? secondPick
                                    : firstPick;
                    case ORACLE -> pickLeastLoaded(reachable, firstPick, inFlight);
                    default ->
                            throw new InvalidSettingsException(
                                    "on processes there are random, two_choices and oracle, not "
                                            + policy);
                });
    }

    private int pickLeastLoaded(int[] reachable, int preferred, IntUnaryOperator inFlight) {
        return Arrays.stream(reachable)
                .boxed()
                .min(Comparator.comparingDouble(i -> estimateLoad(i, preferred, inFlight)))
                .get();
    }

    /** Counts requests on their way to the backend too: all would pick the same one otherwise. */
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
        // A policy sees by itself which backends are up.
    }
}
