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
 * Gossip with the other proxies, and recovery after a start, as the loop sees them. Does nothing
 * where gossip is off. Decisions thread only, but where it says otherwise.
 */
final class PeerExchange {
    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final MonotonicClock clock;
    private final ProxyActions actions;

    /** Null where gossip is off. */
    private GossipSession gossipSession;

    /** Null where gossip is off or recovery is not set. */
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

    /** Before the loop starts. The wall clock gives the start number. */
    void enableGossip(GossipSettings settings) {
        gossipSession =
                new GossipSession(settings, System.currentTimeMillis(), balancer, directory);
    }

    /** Before the loop starts. Recovery gives the start number. */
    void enableGossip(GossipSettings settings, RecoveryCoordinator recoveryCoordinator) {
        this.recoveryCoordinator = recoveryCoordinator;
        gossipSession =
                new GossipSession(settings, recoveryCoordinator.startNumber(), balancer, directory);
    }

    /** Null where there is none. */
    RecoveryCoordinator recoveryCoordinator() {
        return recoveryCoordinator;
    }

    /**
     * Keeps a datagram for the next iteration; returns whether the loop has to be woken for it. Any
     * thread.
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

    /** The updates with this proxy's subset in them; the same where gossip is off. */
    List<EndpointUpdate> withSubsets(List<EndpointUpdate> updates) {
        return gossipSession == null || updates.isEmpty()
                ? updates
                : gossipSession.assignSubsets(updates);
    }

    /** The balancer has these updates. */
    void endpointsApplied(List<EndpointUpdate> updates) {
        if (gossipSession != null) {
            gossipSession.endpointsApplied(updates);
        }
    }

    /** When the next message or step of recovery is due; infinite where there is none. */
    double wakeAt() {
        double gossipAt =
                gossipSession == null ? Double.POSITIVE_INFINITY : gossipSession.nextSendAt();
        return recoveryCoordinator == null
                ? gossipAt
                : Math.min(gossipAt, recoveryCoordinator.wakeAt());
    }

    /** Advances recovery, and has all messages sent that are due. */
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
