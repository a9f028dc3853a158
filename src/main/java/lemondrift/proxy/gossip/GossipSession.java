package lemondrift.proxy.gossip;

import lemondrift.proxy.discovery.BackendDirectory;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.EndpointUpdate;
import lemondrift.gossip.LoadGossip;
import lemondrift.gossip.SubsetAssignment;

/** What this proxy tells the others and hears of them. Owner's thread only, but for told. */
public final class GossipSession {
    private record Told(int from, byte[] datagram) {}

    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final int self;
    private final SubsetAssignment subsets;
    private final LoadGossip holdings;
    /** What has come and is not handled yet. */
    private final Queue<Told> told = new ConcurrentLinkedQueue<>();
    private final Map<Integer, Integer> byTag = new HashMap<>();
    /** By index. */
    private int[] tags = {};

    public GossipSession(GossipTransport.Place place, long start, LoadBalancer balancer, BackendDirectory directory) {
        this.balancer = balancer;
        this.directory = directory;
        self = place.self();
        subsets = new SubsetAssignment(place.proxies().size(), place.part());
        holdings = new LoadGossip(place.proxies().size(), self, start, place.pace(), place.forget(), subsets,
                this::changed);
    }

    private void changed(int tag) {
        Integer backend = byTag.get(tag);
        if (backend != null) {
            balancer.othersHold(backend, holdings.others(tag));
        }
    }

    /** Danger: the owner is not woken, as what others have out matters only when it decides. Any thread. */
    public void told(int from, byte[] datagram) {
        told.add(new Told(from, datagram));
    }

    public void hear(double now) {
        for (Told next = told.poll(); next != null; next = told.poll()) {
            holdings.told(next.from, next.datagram, now);
        }
        holdings.forget(now);
        balancer.othersHeard(holdings.heard(now) > 0);
    }

    /** Tags changed lines of the list and adds this proxy's scores and whose subset changes with them. */
    public List<EndpointUpdate> assigned(List<EndpointUpdate> lines) {
        for (EndpointUpdate line : lines) {
            int backend = line.backend();
            if (backend >= tags.length) {
                tags = Arrays.copyOf(tags, Math.max(2 * tags.length, backend + 1));
            }
            byTag.remove(tags[backend], backend);
            tags[backend] = LoadGossip.tag(directory.id(backend));
            if (line.state() == EndpointUpdate.State.READY) {
                byTag.put(tags[backend], backend);
            }
        }
        return subsets.assigned(self, false, lines, backend -> tags[backend]);
    }

    /** The decisions have been told of a list. */
    public void listed(List<EndpointUpdate> lines) {
        lines.forEach(line -> balancer.othersHold(line.backend(), holdings.others(tags[line.backend()])));
    }

    public void sent(int backend) {
        holdings.sent(tags[backend]);
    }

    public void ended(int backend, AttemptOutcome outcome, double now) {
        if (outcome.mayRunOn) {
            holdings.givenUp(tags[backend], now);
        } else {
            holdings.ended(tags[backend]);
        }
    }

    /** Another proxy has started anew: what its former self had out is over. */
    public void startedAnew(int proxy, long start) {
        holdings.startedAnew(proxy, start);
    }

    public double tellAt() {
        return holdings.tellAt();
    }

    public List<LoadGossip.Telling> tellings(double now) {
        return holdings.tellings(now);
    }
}
