package lemondrift.proxy.loop;

import java.util.List;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.EndpointUpdate;
import lemondrift.proxy.config.GossipSettings;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.proxy.gossip.GossipSession;
import lemondrift.proxy.recovery.RecoveryCoordinator;
import lemondrift.proxy.time.MonotonicClock;

/**
 * Connects the loop to gossip with the other proxies and to recovery after a start. Does nothing if
 * gossip is disabled. Decision thread only, unless stated otherwise.
 */
final class PeerExchange {
    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final MonotonicClock clock;
    private final ProxyActions actions;

    /** Null if gossip is disabled. */
    private GossipSession gossipSession;

    /** Null if gossip is disabled or recovery is not configured. */
    private RecoveryCoordinator recoveryCoordinator;

    PeerExchange(
            LoadBalancer balancer,
            BackendDirectory directory,
            MonotonicClock clock,
            ProxyActions actions) {
        this.balancer = balancer;
        this.directory = directory;
        this.clock = clock;
        this.actions = actions;
    }

    /**
     * Enables gossip without recovery. The start number is the wall-clock time in milliseconds.
     * Must be called before the loop starts.
     */
    void enableGossip(GossipSettings settings) {
        gossipSession =
                new GossipSession(settings, System.currentTimeMillis(), balancer, directory);
    }

    /**
     * Enables gossip and recovery. The coordinator provides the start number. Must be called before
     * the loop starts.
     */
    void enableGossip(GossipSettings settings, RecoveryCoordinator recoveryCoordinator) {
        this.recoveryCoordinator = recoveryCoordinator;
        gossipSession =
                new GossipSession(settings, recoveryCoordinator.startNumber(), balancer, directory);
    }

    /** Returns the coordinator of recovery; null if recovery is not enabled. */
    RecoveryCoordinator recoveryCoordinator() {
        return recoveryCoordinator;
    }

    /**
     * Queues a datagram for the next iteration. Gossip must be enabled. Any thread.
     *
     * @return whether the loop must be woken for it: true for a recovery datagram
     */
    boolean datagramReceived(int fromProxy, byte[] datagram) {
        if (recoveryCoordinator != null && RecoveryCoordinator.isRecoveryDatagram(datagram)) {
            recoveryCoordinator.enqueueDatagram(fromProxy, datagram);
            return true;
        }
        gossipSession.enqueueDatagram(fromProxy, datagram);
        return false;
    }

    void processReceived() {
        if (gossipSession != null) {
            gossipSession.processReceived(clock.now());
        }
    }

    void attemptSent(int backend) {
        if (gossipSession != null) {
            gossipSession.attemptSent(backend);
        }
    }

    void attemptEnded(int backend, AttemptOutcome outcome) {
        if (gossipSession != null) {
            gossipSession.attemptEnded(backend, outcome, clock.now());
        }
    }

    /**
     * Adds the scores of this proxy, and the share of proxies that use each backend, to updates.
     *
     * @return the given updates, followed by an update for each other backend whose share has
     *     changed; the argument itself if gossip is disabled or there are no updates
     */
    List<EndpointUpdate> assignSubsets(List<EndpointUpdate> updates) {
        return gossipSession == null || updates.isEmpty()
                ? updates
                : gossipSession.assignSubsets(updates);
    }

    /**
     * Called after the balancer has applied these updates; reports to it the load of the peers on
     * these backends.
     */
    void endpointsApplied(List<EndpointUpdate> updates) {
        if (gossipSession != null) {
            gossipSession.endpointsApplied(updates);
        }
    }

    /**
     * Returns when the next message or the next step of recovery is due, in seconds of the proxy's
     * clock; infinity if there is none.
     */
    double wakeAt() {
        double gossipAt =
                gossipSession == null ? Double.POSITIVE_INFINITY : gossipSession.nextSendAt();
        return recoveryCoordinator == null
                ? gossipAt
                : Math.min(gossipAt, recoveryCoordinator.wakeAt());
    }

    /** Advances recovery and sends all messages that are due. */
    void sendDueMessages() {
        if (recoveryCoordinator != null) {
            recoveryCoordinator.advance(
                    clock.now(), balancer, gossipSession::peerRestarted, actions::sendGossip);
        }
        if (gossipSession != null) {
            gossipSession.takeDueMessages(clock.now()).forEach(actions::sendGossip);
        }
    }
}
