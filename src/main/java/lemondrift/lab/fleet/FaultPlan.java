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
 * The faults of one day, with the proxies and backends that each falls on, which are drawn before
 * the day starts. Immutable, so any thread may ask. Proxies that meet the same faults towards
 * backends are of one segment.
 */
final class FaultPlan {
    /** One fault, and whether it falls on the sender and the receiver of each number. */
    record DrawnFault(Fault fault, boolean[] from, boolean[] to) {
        boolean affects(int sender, int receiver) {
            return (from[sender] && to[receiver])
                    || (fault.bidirectional() && from[receiver] && to[sender]);
        }

        /** The numbers of the proxies that it falls on, for a fault of processes. */
        int[] affectedProxies() {
            return IntStream.range(0, from.length).filter(proxy -> from[proxy]).toArray();
        }

        private boolean isOnChannel(Fault.Channel channel) {
            return !fault.kind().isProcessFault() && fault.channel() == channel;
        }
    }

    /** The time at which the day starts. */
    private final double runStart;

    private final List<DrawnFault> drawnFaults = new ArrayList<>();

    /** The segment of each proxy. */
    private final int[] segments;

    /** One proxy of each segment. */
    private final int[] firstProxies;

    /**
     * Draws the faults. The location of a proxy or backend is its number modulo the locations.
     *
     * @param separateSegments whether each proxy is a segment of its own
     * @param runStart the time from which the faults' times count
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

    /** The segment that a proxy belongs to. */
    int segmentOf(int proxy) {
        return segments[proxy];
    }

    private List<DrawnFault> faultsOnChannel(Fault.Channel channel) {
        return drawnFaults.stream().filter(drawn -> drawn.isOnChannel(channel)).toList();
    }

    private boolean isActive(DrawnFault drawn, double now) {
        return drawn.fault.isActiveAt(now - runStart);
    }

    /** The faults that fall on processes. */
    List<DrawnFault> processFaults() {
        return drawnFaults.stream().filter(drawn -> drawn.fault.kind().isProcessFault()).toList();
    }

    /** The active faults that send datagrams which no proxy has sent. */
    List<DrawnFault> activeJunkFaults(double now) {
        return drawnFaults.stream()
                .filter(drawn -> drawn.fault.kind() == Fault.Kind.JUNK && isActive(drawn, now))
                .toList();
    }

    /** The active faults of a datagram from one proxy to another. */
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

    /** Until when nothing gets from a segment's proxies to a backend; now where it is not cut. */
    double backendCutUntil(int segment, int backend, double now) {
        return cutUntil(Fault.Channel.BACKENDS, now, affectsBackend(segment, backend));
    }

    /** By how much a message from a segment's proxies to a backend is late. */
    double backendDelaySeconds(int segment, int backend, double now) {
        return delaySeconds(Fault.Channel.BACKENDS, now, affectsBackend(segment, backend));
    }

    private Predicate<DrawnFault> affectsBackend(int segment, int backend) {
        return drawn -> drawn.from[firstProxies[segment]] && drawn.to[backend];
    }

    /** Until when a proxy gets nothing from its discovery agent; now where it is not cut. */
    double discoveryCutUntil(int proxy, double now) {
        return cutUntil(Fault.Channel.DISCOVERY, now, drawn -> drawn.from[proxy]);
    }

    /** By how much a message from a discovery agent to its proxy is late. */
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
     * One line on each fault and the numbers that it falls on; "no faults" where there are none.
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
