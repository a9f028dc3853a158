package lemondrift.proxy.gossip;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import lemondrift.balancer.LoadBalancer;
import lemondrift.gossip.LoadGossip;
import lemondrift.gossip.SubsetAssignment;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.EndpointUpdate;
import lemondrift.proxy.config.GossipSettings;
import lemondrift.proxy.discovery.BackendDirectory;

/**
 * Connects gossip to the balancer: translates between the backend indexes of the balancer and the
 * tags of gossip. Used only on the decision thread, except for {@link #enqueueDatagram}.
 */
public final class GossipSession {
    private record ReceivedDatagram(int from, byte[] datagram) {}

    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final int self;
    private final SubsetAssignment subsets;
    private final LoadGossip gossip;

    /** Datagrams that have not been processed yet. */
    private final Queue<ReceivedDatagram> receivedDatagrams = new ConcurrentLinkedQueue<>();

    /** The index of the ready backend with a tag. */
    private final Map<Integer, Integer> backendByTag = new HashMap<>();

    /** The tags of the backends, by index. */
    private int[] tags = {};

    /** Creates a session for the current start of the proxy, identified by its start number. */
    public GossipSession(
            GossipSettings settings,
            long startNumber,
            LoadBalancer balancer,
            BackendDirectory directory) {
        this.balancer = balancer;
        this.directory = directory;
        self = settings.self();
        subsets = new SubsetAssignment(settings.proxies().size(), settings.subsetSize());
        gossip =
                new LoadGossip(
                        settings.proxies().size(),
                        self,
                        startNumber,
                        settings.minIntervalSeconds(),
                        settings.expirySeconds(),
                        subsets,
                        this::reportPeerLoad);
    }

    private void reportPeerLoad(int tag) {
        Integer backend = backendByTag.get(tag);
        if (backend != null) {
            balancer.peerLoadReported(backend, gossip.peerLoad(tag));
        }
    }

    /**
     * Queues a datagram until {@link #processReceived}. The decision loop is not woken, because the
     * load of peers matters only when it makes its next decision. Any thread.
     */
    public void enqueueDatagram(int from, byte[] datagram) {
        receivedDatagrams.add(new ReceivedDatagram(from, datagram));
    }

    /**
     * Processes queued datagrams, expires stale load, and passes the resulting load of peers to the
     * balancer.
     */
    public void processReceived(double now) {
        for (ReceivedDatagram next = receivedDatagrams.poll();
                next != null;
                next = receivedDatagrams.poll()) {
            gossip.processDatagram(next.from, next.datagram, now);
        }
        gossip.expireStaleLoad(now);
        balancer.setGossipActive(gossip.livePeerCount(now) > 0);
    }

    /**
     * Computes the tags of changed endpoints, and adds the scores of this proxy and the share of
     * proxies that use each backend.
     *
     * @return the given updates, followed by an update for each other backend whose share has
     *     changed
     */
    public List<EndpointUpdate> assignSubsets(List<EndpointUpdate> updates) {
        for (EndpointUpdate update : updates) {
            int backend = update.backend();
            if (backend >= tags.length) {
                tags = Arrays.copyOf(tags, Math.max(2 * tags.length, backend + 1));
            }
            backendByTag.remove(tags[backend], backend);
            tags[backend] = LoadGossip.tag(directory.id(backend));
            if (update.state() == EndpointUpdate.State.READY) {
                backendByTag.put(tags[backend], backend);
            }
        }
        return subsets.applyUpdates(self, false, updates, backend -> tags[backend]);
    }

    /**
     * Passes the load of peers at changed endpoints to the balancer, after it has applied the
     * updates.
     */
    public void endpointsApplied(List<EndpointUpdate> updates) {
        for (EndpointUpdate update : updates) {
            int backend = update.backend();
            balancer.peerLoadReported(backend, gossip.peerLoad(tags[backend]));
        }
    }

    public void attemptSent(int backend) {
        gossip.attemptSent(tags[backend]);
    }

    /**
     * Records the end of an attempt. If the backend may still execute it, it counts as in flight
     * until it expires.
     */
    public void attemptEnded(int backend, AttemptOutcome outcome, double now) {
        if (outcome.mayStillRun) {
            gossip.attemptAbandoned(tags[backend], now);
        } else {
            gossip.attemptEnded(tags[backend]);
        }
    }

    /** Records that a peer has restarted with a start number, and drops its previous attempts. */
    public void peerRestarted(int proxy, long startNumber) {
        gossip.peerRestarted(proxy, startNumber);
    }

    /**
     * Returns when {@link #takeDueMessages} is due next, in seconds of the clock; infinite if
     * nothing is pending.
     */
    public double nextSendAt() {
        return gossip.nextSendAt();
    }

    /** Returns the messages that are due now and marks them as sent. */
    public List<LoadGossip.Message> takeDueMessages(double now) {
        return gossip.takeDueMessages(now);
    }
}
