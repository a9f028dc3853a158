package lemondrift.lab.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import lemondrift.lab.simulation.Fault;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The faults of one run, and the proxies and backends that each fault affects, which are drawn
 * before the run starts. Immutable, so any thread may use it. Proxies with the same faults on their
 * way to the backends belong to the same segment.
 */
final class FaultPlan {
    /**
     * A fault and the senders and receivers that it affects.
     *
     * @param from whether the fault affects the sender with the index as its number
     * @param to whether the fault affects the receiver with the index as its number
     */
    record DrawnFault(Fault fault, boolean[] from, boolean[] to) {
        boolean affects(int sender, int receiver) {
            return (from[sender] && to[receiver])
                    || (fault.bidirectional() && from[receiver] && to[sender]);
        }

        /** Returns the numbers of the proxies that a fault of processes affects. */
        int[] affectedProxies() {
            return IntStream.range(0, from.length).filter(proxy -> from[proxy]).toArray();
        }

        private boolean isOnChannel(Fault.Channel channel) {
            return !fault.kind().isProcessFault() && fault.channel() == channel;
        }
    }

    /** The time at which the run starts, in seconds of the scheduler. */
    private final double runStart;

    private final List<DrawnFault> drawnFaults = new ArrayList<>();

    /** The segment of each proxy. */
    private final int[] segments;

    /** The proxy with the lowest number in each segment. */
    private final int[] firstProxies;

    /**
     * Draws the proxies and backends that the faults affect. The location of a proxy or backend is
     * its number modulo the number of locations.
     *
     * @param separateSegments whether each proxy forms its own segment
     * @param runStart the time from which the times of the faults count, in seconds of the
     *     scheduler
     */
    FaultPlan(
            List<Fault> faults,
            int proxies,
            int backends,
            int locations,
            long seed,
            boolean separateSegments,
            double runStart) {
        this.runStart = runStart;
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        IntUnaryOperator location = number -> number % locations;
        for (Fault fault : faults) {
            int receivers = fault.channel() == Fault.Channel.BACKENDS ? backends : proxies;
            boolean[] from = fault.from().selectTargets(proxies, location, random);
            boolean[] to = fault.to().selectTargets(receivers, location, random);
            drawnFaults.add(new DrawnFault(fault, from, to));
        }
        segments =
                separateSegments
                        ? IntStream.range(0, proxies).toArray()
                        : segmentsByFaults(proxies);
        int segmentCount = Arrays.stream(segments).max().orElse(-1) + 1;
        firstProxies = IntStream.range(0, segmentCount).map(this::firstProxyOfSegment).toArray();
    }

    private int[] segmentsByFaults(int proxies) {
        List<DrawnFault> backendFaults = faultsOnChannel(Fault.Channel.BACKENDS);
        Map<List<Boolean>, Integer> segmentByFaults = new LinkedHashMap<>();
        int[] segmentOfProxy = new int[proxies];
        for (int proxy = 0; proxy < proxies; proxy++) {
            int number = proxy;
            List<Boolean> affected =
                    backendFaults.stream().map(drawn -> drawn.from[number]).toList();
            segmentByFaults.putIfAbsent(affected, segmentByFaults.size());
            segmentOfProxy[proxy] = segmentByFaults.get(affected);
        }
        return segmentOfProxy;
    }

    private int firstProxyOfSegment(int segment) {
        return IntStream.range(0, segments.length)
                .filter(proxy -> segments[proxy] == segment)
                .findFirst()
                .orElseThrow();
    }

    int segmentCount() {
        return firstProxies.length;
    }

    /** Returns the segment that a proxy belongs to. */
    int segmentOf(int proxy) {
        return segments[proxy];
    }

    private List<DrawnFault> faultsOnChannel(Fault.Channel channel) {
        return drawnFaults.stream().filter(drawn -> drawn.isOnChannel(channel)).toList();
    }

    private boolean isActive(DrawnFault drawn, double now) {
        return drawn.fault.isActiveAt(now - runStart);
    }

    /** Returns the faults of processes. */
    List<DrawnFault> processFaults() {
        return drawnFaults.stream().filter(drawn -> drawn.fault.kind().isProcessFault()).toList();
    }

    /** Returns the active faults that send junk datagrams, which no proxy has sent. */
    List<DrawnFault> activeJunkFaults(double now) {
        return drawnFaults.stream()
                .filter(drawn -> drawn.fault.kind() == Fault.Kind.JUNK && isActive(drawn, now))
                .toList();
    }

    /** Returns the active faults that affect a datagram from one proxy to another. */
    List<Fault> activeDatagramFaults(int sender, int receiver, double now) {
        List<Fault> active = new ArrayList<>();
        for (DrawnFault drawn : drawnFaults) {
            if (isActive(drawn, now)
                    && drawn.isOnChannel(Fault.Channel.DATAGRAMS)
                    && drawn.affects(sender, receiver)) {
                active.add(drawn.fault);
            }
        }
        return active;
    }

    /**
     * Returns the time until which no message passes between a segment's proxies and a backend; the
     * present time if none of them is blocked.
     */
    double backendCutUntil(int segment, int backend, double now) {
        return cutUntil(Fault.Channel.BACKENDS, now, affectsBackend(segment, backend));
    }

    /**
     * Returns by how many seconds a message from a segment's proxies to a backend is delayed; 0 if
     * it is not.
     */
    double backendDelaySeconds(int segment, int backend, double now) {
        return delaySeconds(Fault.Channel.BACKENDS, now, affectsBackend(segment, backend));
    }

    private Predicate<DrawnFault> affectsBackend(int segment, int backend) {
        return drawn -> drawn.from[firstProxies[segment]] && drawn.to[backend];
    }

    /**
     * Returns the time until which a proxy receives nothing from its discovery agent; the present
     * time if it is not blocked.
     */
    double discoveryCutUntil(int proxy, double now) {
        return cutUntil(Fault.Channel.DISCOVERY, now, drawn -> drawn.from[proxy]);
    }

    /**
     * Returns by how many seconds a message from a discovery agent to its proxy is delayed; 0 if it
     * is not.
     */
    double discoveryDelaySeconds(int proxy, double now) {
        return delaySeconds(Fault.Channel.DISCOVERY, now, drawn -> drawn.from[proxy]);
    }

    private double cutUntil(
            Fault.Channel channel, double now, Predicate<DrawnFault> affectsMessage) {
        return activeFaults(channel, Fault.Kind.CUT, now, affectsMessage)
                .mapToDouble(fault -> runStart + fault.startAt() + fault.durationSeconds())
                .max()
                .orElse(now);
    }

    private double delaySeconds(
            Fault.Channel channel, double now, Predicate<DrawnFault> affectsMessage) {
        return activeFaults(channel, Fault.Kind.LATE, now, affectsMessage)
                .mapToDouble(Fault::maxDelaySeconds)
                .sum();
    }

    private Stream<Fault> activeFaults(
            Fault.Channel channel,
            Fault.Kind kind,
            double now,
            Predicate<DrawnFault> affectsMessage) {
        return faultsOnChannel(channel).stream()
                .filter(drawn -> drawn.fault.kind() == kind)
                .filter(drawn -> isActive(drawn, now))
                .filter(affectsMessage)
                .map(DrawnFault::fault);
    }

    /**
     * Returns one line for each fault with the numbers of the proxies that it affects; "no faults"
     * if there are none.
     */
    String describe() {
        if (drawnFaults.isEmpty()) {
            return "no faults";
        }
        return drawnFaults.stream()
                .map(drawn -> drawn.fault + " on " + Arrays.toString(drawn.affectedProxies()))
                .collect(Collectors.joining("\n"));
    }
}
