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
 * What this proxy reports to its peers and hears of them, by the backends' indexes. Decision loop's
 * thread only, but for {@link #receivedDatagrams}.
 */
public final class GossipSession {
    private record ReceivedDatagram(int from, byte[] datagram) {}

    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final int self;
    private final SubsetAssignment subsets;
    private final LoadGossip gossip;

    /** Datagrams that are not processed yet. */
    private final Queue<ReceivedDatagram> receivedDatagrams = new ConcurrentLinkedQueue<>();

    /** The index of the ready backend of a tag. */
    private final Map<Integer, Integer> backendByTag = new HashMap<>();

    /** The tag of a backend, by its index. */
    private int[] tags = {};

    /** A session that begins now, under the proxy's start number. */
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
     * Queues a datagram until the loop decides next; it is not woken, as what peers have in flight
     * matters only then. Any thread.
     */
    public void enqueueDatagram(int from, byte[] datagram) {
        receivedDatagrams.add(new ReceivedDatagram(from, datagram));
    }

    /** Passes on to the decisions what has come, and what has expired. */
    public void processReceived(double now) {
        for (ReceivedDatagram next = receivedDatagrams.poll();
                next != null;
                next = receivedDatagrams.poll()) {
            gossip.receive(next.from, next.datagram, now);
        }
        gossip.expireStaleLoad(now);
        balancer.setGossipActive(gossip.livePeerCount(now) > 0);
    }

    /**
     * Tags the backends of changed endpoints, and adds this proxy's scores and the share of proxies
     * that use each backend, also for other backends where that has changed.
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

    /** The decisions have applied these endpoints, and learn what peers have in flight there. */
    public void endpointsApplied(List<EndpointUpdate> updates) {
        for (EndpointUpdate update : updates) {
            int backend = update.backend();
            balancer.peerLoadReported(backend, gossip.peerLoad(tags[backend]));
        }
    }

    public void attemptSent(int backend) {
        gossip.attemptSent(tags[backend]);
    }

    /** An attempt has ended; where the backend may still work on it, it counts for a while. */
    public void attemptEnded(int backend, AttemptOutcome outcome, double now) {
        if (outcome.mayStillRun) {
            gossip.attemptAbandoned(tags[backend], now);
        } else {
            gossip.attemptEnded(tags[backend]);
        }
    }

    /** A peer has restarted under a start number: its former attempts are over. */
    public void peerRestarted(int proxy, long startNumber) {
        gossip.peerRestarted(proxy, startNumber);
    }

    /** When messages are due next, in seconds of the clock; infinite where none are. */
    public double nextSendAt() {
        return gossip.nextSendAt();
    }

    /** The messages that are due now, which count as sent. */
    public List<LoadGossip.Message> takeDueMessages(double now) {
        return gossip.takeDueMessages(now);
    }
}
