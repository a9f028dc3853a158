package lemondrift.proxy.loop;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;
import lemondrift.proxy.time.MonotonicClock;

/**
 * The balancer's shed threshold of each request class, as of the last iteration in which the queue
 * was long. The I/O thread reads the thresholds to shed requests that have not reached the
 * balancer.
 */
final class ShedThresholds {
    private final LoadBalancer balancer;
    private final MonotonicClock clock;

    /** By index of the request class; an element is null if no request of the class is shed. */
    private volatile List<ShedThreshold> byRequestClass = List.of();

    ShedThresholds(LoadBalancer balancer, MonotonicClock clock) {
        this.balancer = balancer;
        this.clock = clock;
    }

    /**
     * Returns the threshold by which a request is shed; empty if it is not shed. Any thread.
     *
     * @param secondsLeft seconds left until the request's latency objective or its deadline,
     *     whichever is earlier; it has no attempt deadline before it reaches the balancer
     */
    Optional<ShedThreshold> forRequest(int requestClass, double secondsLeft) {
        List<ShedThreshold> thresholds = byRequestClass;
        if (requestClass >= thresholds.size()) {
            return Optional.empty();
        }
        return Optional.ofNullable(thresholds.get(requestClass))
                .filter(threshold -> secondsLeft < threshold.minSecondsLeft());
    }

    /** Replaces all thresholds with the balancer's current ones. Decision thread. */
    void update(Settings settings) {
        byRequestClass =
                IntStream.range(0, settings.requestClasses().size())
                        .mapToObj(
                                requestClass ->
                                        settings.requestClasses().get(requestClass) == null
                                                ? null
                                                : balancer.shedThreshold(clock.now(), requestClass))
                        .toList();
    }

    /** Removes all thresholds: no request is shed until the next update. Decision thread. */
    void clear() {
        byRequestClass = List.of();
    }
}
