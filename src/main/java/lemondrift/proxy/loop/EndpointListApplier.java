package lemondrift.proxy.loop;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.EndpointUpdate;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.discovery.EndpointListUpdate;
import lemondrift.proxy.events.EndpointList;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies new endpoint lists one after the other in the order of their arrival. Each list is
 * applied in slices, so that requests never wait for a whole long list. A slice is passed to the
 * shadow, the balancer and gossip. Then idle connections to backends that are no longer ready or
 * have a new address are closed. Decision thread only.
 */
final class EndpointListApplier {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListApplier.class);

    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final MonotonicClock clock;
    private final ProxyActions actions;
    private final PeerExchange peers;
    private final ShadowRunner shadow;
    private final DecisionExecutor executor;

    /** Lists that are not completely applied yet, the oldest first. */
    private final Queue<EndpointListUpdate> pendingLists = new ArrayDeque<>();

    EndpointListApplier(
            LoadBalancer balancer,
            BackendDirectory directory,
            MonotonicClock clock,
            ProxyActions actions,
            PeerExchange peers,
            ShadowRunner shadow,
            DecisionExecutor executor) {
        this.balancer = balancer;
        this.directory = directory;
        this.clock = clock;
        this.actions = actions;
        this.peers = peers;
        this.shadow = shadow;
        this.executor = executor;
    }

    /** Returns whether there is a list that is not completely applied yet. */
    boolean hasPending() {
        return !pendingLists.isEmpty();
    }

    /**
     * Queues a new list. Applies its first slice at once unless an earlier list is still pending.
     *
     * @param knownBeforeStart whether the list was known before the process started, from the
     *     configuration
     * @param onApplied runs once the balancer has the whole list
     */
    void endpointListReceived(EndpointList list, boolean knownBeforeStart, Runnable onApplied) {
        pendingLists.add(new EndpointListUpdate(directory, list, knownBeforeStart, onApplied));
        if (pendingLists.size() == 1) {
            applyNextSlice();
        }
    }

    /** Applies the next slice of the oldest list. At least one list must be pending. */
    void applyNextSlice() {
        EndpointListUpdate list = pendingLists.peek();
        List<EndpointUpdate> updates = peers.assignSubsets(list.nextSlice());
        shadow.endpointsListed(list.isKnownBeforeStart(), updates);
        balancer.applyEndpointUpdates(clock.now(), false, updates);
        peers.endpointsApplied(updates);
        for (EndpointUpdate update : updates) {
            // Guards against an attempt that waits for a connection and then reaches another
            // backend that has the address now.
            if (update.state() != EndpointUpdate.State.READY
                    || directory.consumeAddressChange(update.backend())) {
                actions.retirePool(update.backend());
            }
        }
        if (list.isDone()) {
            finish(pendingLists.remove());
        }
    }

    /**
     * Completes a list after its last slice. The balancer then decides about the requests that
     * waited for the list.
     */
    private void finish(EndpointListUpdate list) {
        executor.reportBackendCount();
        if (!list.unreadable().isEmpty()) {
            LOG.warn(
                    "unreadable endpoints in the list ignored, the first: {}",
                    list.unreadable().get(0));
        }
        if (!list.isEmpty()) {
            LOG.info(
                    "endpoint list applied {} backends={} usable={}",
                    list.summary(),
                    directory.listedCount(),
                    balancer.usableBackendCount());
        }
        list.reportApplied();
        executor.execute(
                balancer.endpointListCompleted(
                        clock.now(), false, list.isKnownBeforeStart(), List.of()));
    }
}
