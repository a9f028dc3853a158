package lemondrift.proxy.loop;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;
import lemondrift.proxy.time.MonotonicClock;

/**
 * What the balancer would shed of each request class, as of the last iteration in which the queue
 * was long. The I/O thread reads it to shed requests that have not reached the balancer.
 */
final class ShedThresholds {
    private final LoadBalancer balancer;
    private final MonotonicClock clock;

    /** By index of the request class; an element is null where nothing of its class is shed. */
    private volatile List<ShedThreshold> byRequestClass = List.of();

    ShedThresholds(LoadBalancer balancer, MonotonicClock clock) {
        this.balancer = balancer;
        this.clock = clock;
    }

    /**
     * The threshold that sheds a request with so many seconds left; empty where it is not shed. Any
     * thread.
     */
    Optional<ShedThreshold> forRequest(int requestClass, double secondsLeft) {
        List<ShedThreshold> thresholds = byRequestClass;
        if (requestClass >= thresholds.size()) {
            return Optional.empty();
        }
        return Optional.ofNullable(thresholds.get(requestClass))
                .filter(threshold -> secondsLeft < threshold.minSecondsLeft());
    }

    /** Asks the balancer anew. Decisions thread. */
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

    /** Nothing is shed until the next update. Decisions thread. */
    void clear() {
        byRequestClass = List.of();
    }
}
