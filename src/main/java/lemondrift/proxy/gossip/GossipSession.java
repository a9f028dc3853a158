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

/** What this proxy tells the others and hears of them. Owner's thread only, but for told. */
public final class GossipSession {
    private record Told(int from, byte[] datagram) {}

    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final int self;
    private final SubsetAssignment subsets;
    private final LoadGossip gossip;

    /** What has come and is not handled yet. */
    private final Queue<Told> told = new ConcurrentLinkedQueue<>();

    private final Map<Integer, Integer> byTag = new HashMap<>();

    /** By index. */
    private int[] tags = {};

    public GossipSession(
            GossipSettings settings,
            long start,
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
                        start,
                        settings.minIntervalSeconds(),
                        settings.expirySeconds(),
                        subsets,
                        this::changed);
    }

    private void changed(int tag) {
        Integer backend = byTag.get(tag);
        if (backend != null) {
            balancer.peerLoadReported(backend, gossip.peerLoad(tag));
        }
    }

    /**
     * Danger: the owner is not woken, as what others have out matters only when it decides. Any
     * thread.
     */
    public void received(int from, byte[] datagram) {
        told.add(new Told(from, datagram));
    }

    public void processReceived(double now) {
        for (Told next = told.poll(); next != null; next = told.poll()) {
            gossip.receive(next.from, next.datagram, now);
        }
        gossip.expireSilentPeers(now);
        balancer.peersHeard(gossip.livePeerCount(now) > 0);
    }

    /**
     * Tags changed lines of the list and adds this proxy's scores and whose subset changes with
     * them.
     */
    public List<EndpointUpdate> withSubsets(List<EndpointUpdate> updates) {
        for (EndpointUpdate update : updates) {
            int backend = update.backend();
            if (backend >= tags.length) {
                tags = Arrays.copyOf(tags, Math.max(2 * tags.length, backend + 1));
            }
            byTag.remove(tags[backend], backend);
            tags[backend] = LoadGossip.tag(directory.id(backend));
            if (update.state() == EndpointUpdate.State.READY) {
                byTag.put(tags[backend], backend);
            }
        }
        return subsets.assigned(self, false, updates, backend -> tags[backend]);
    }

    /** The decisions have been told of a list. */
    public void endpointsApplied(List<EndpointUpdate> updates) {
        updates.forEach(
                update ->
                        balancer.peerLoadReported(
                                update.backend(), gossip.peerLoad(tags[update.backend()])));
    }

    public void attemptSent(int backend) {
        gossip.attemptSent(tags[backend]);
    }

    public void attemptEnded(int backend, AttemptOutcome outcome, double now) {
        if (outcome.mayStillRun) {
            gossip.attemptAbandoned(tags[backend], now);
        } else {
            gossip.attemptEnded(tags[backend]);
        }
    }

    /** Another proxy has started anew: what its former self had out is over. */
    public void peerRestarted(int proxy, long start) {
        gossip.peerRestarted(proxy, start);
    }

    public double nextSendAt() {
        return gossip.nextSendAt();
    }

    public List<LoadGossip.Message> dueMessages(double now) {
        return gossip.dueMessages(now);
    }
}
