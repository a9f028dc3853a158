package lemondrift.proxy.recovery;

import com.google.gson.JsonObject;
import java.util.Locale;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import lemondrift.balancer.LoadBalancer;
import lemondrift.gossip.LoadGossip;
import lemondrift.model.ServiceTime;
import lemondrift.proxy.config.RecoverySettings;
import lemondrift.recovery.PeerStatus;
import lemondrift.recovery.RecoveryState;
import lemondrift.recovery.Snapshot;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out a proxy's recovery after its start. Decision loop's thread only, but where it says
 * otherwise.
 */
public final class RecoveryCoordinator implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RecoveryCoordinator.class);

    /** Hears that a peer has restarted. */
    public interface PeerRestartListener {
        void peerRestarted(int proxy, long startNumber);
    }

    private record ReceivedStatus(int from, PeerStatus status) {}

    private final Queue<ReceivedStatus> receivedStatuses = new ConcurrentLinkedQueue<>();

    /** Null where no disk lasts. */
    private final SnapshotStore snapshotStore;

    /** What is used of the former self's snapshot. */
    private final Snapshot.RestoredValues restored;

    private final double snapshotIntervalSeconds;
    private double nextSnapshotAt;

    /** The mean service time as it was measured last; kept where snapshots are stored. */
    private volatile ServiceTime lastMeasured = new ServiceTime(0, 0);

    /** A value, so that any thread may read it. */
    private volatile RecoveryState state;

    /** What peers have measured; null where none has, and once it is settled as it was last. */
    private volatile RecoveryState.PeerEstimate peerEstimate;

    /** When the phase changed last. */
    private volatile double phaseChangedAt;

    /** Whether the decisions have been given a first service time, if there was one. */
    private boolean seedAttempted;

    /**
     * The recovery of a proxy, which begins now. Before it returns, the start number is on disk
     * where one lasts. Guards against a number that peers have seen being used a second time.
     */
    public RecoveryCoordinator(
            RecoverySettings settings, String proxyName, int self, int proxyCount, double now) {
        snapshotIntervalSeconds = settings.snapshotIntervalSeconds();
        snapshotStore =
                settings.snapshotFolder() == null
                        ? null
                        : new SnapshotStore(settings.snapshotFolder(), proxyName);
        restored =
                snapshotStore == null
                        ? Snapshot.RestoredValues.NONE
                        : snapshotStore.restoreNewest();
        // Guards against a wall clock that went back, which would repeat a number.
        long startNumber = Math.max(restored.previousStartNumber() + 1, System.currentTimeMillis());
        state = RecoveryState.starting(settings.polling(), self, proxyCount, startNumber, now);
        phaseChangedAt = now;
        nextSnapshotAt = now + snapshotIntervalSeconds;
        if (snapshotStore != null) {
            snapshotStore.writeNow(startNumber, restored.serviceTimeSeconds(), restoredSamples());
        }
        LOG.info(
                "recovery begins start_number={} snapshot=\"{}\" service_time_seconds={}"
                        + " samples={}",
                startNumber,
                restored.reason(),
                restored.serviceTimeSeconds(),
                restored.samples());
    }

    private int restoredSamples() {
        return restored.serviceTimeSeconds() > 0 ? restored.samples() : 0;
    }

    /** Whether a datagram is a peer's status, not gossip. Any thread. */
    public static boolean isRecoveryDatagram(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == PeerStatus.KIND;
    }

    /** Queues a peer's status until the next advance; drops one that can't be read. Any thread. */
    public void enqueueDatagram(int from, byte[] datagram) {
        PeerStatus.decode(datagram)
                .ifPresent(status -> receivedStatuses.add(new ReceivedStatus(from, status)));
    }

    public long startNumber() {
        return state.startNumber();
    }

    /**
     * When to advance at the latest, in seconds of the clock; infinite once it is settled and no
     * snapshots are stored.
     */
    public double wakeAt() {
        return snapshotStore == null ? state.wakeAt() : Math.min(state.wakeAt(), nextSnapshotAt);
    }

    /**
     * Follows what peers have sent, passes what they have measured to the decisions, polls where
     * that is due, and stores a snapshot from time to time.
     *
     * @param listener hears of each peer that has restarted
     * @param sender sends what goes to peers
     */
    public void advance(
            double now,
            LoadBalancer balancer,
            PeerRestartListener listener,
            Consumer<LoadGossip.Message> sender) {
        boolean wasSettled = state.isSettled();
        if (!wasSettled) {
            ServiceTime measured = balancer.measuredServiceTime();
            state = state.withMeasuredServiceTime(measured.seconds(), (int) measured.samples());
        }
        processReceived(now, listener, sender);
        apply(state.wake(now), now, sender);
        if (!state.isSettled()) {
            seedDecisions(balancer, now);
        } else if (!wasSettled) {
            LOG.info(
                    "recovery settled phase={} after={} service_time_seconds={} samples={}"
                            + " poll_rounds={}",
                    state.phase(),
                    formatSeconds(now - state.startedAt()),
                    state.serviceTimeSeconds(),
                    state.samples(),
                    state.pollRounds());
        }
        if (snapshotStore != null) {
            lastMeasured = balancer.measuredServiceTime();
            if (now >= nextSnapshotAt) {
                storeSnapshot(now);
            }
        }
    }

    private void processReceived(
            double now, PeerRestartListener listener, Consumer<LoadGossip.Message> sender) {
        for (ReceivedStatus next = receivedStatuses.poll();
                next != null;
                next = receivedStatuses.poll()) {
            RecoveryState.Step step = state.statusReceived(next.from, next.status, now);
            if (step.peerRestarted()) {
                listener.peerRestarted(next.from, next.status.startNumber());
            }
            apply(step, now, sender);
        }
    }

    private void apply(RecoveryState.Step step, double now, Consumer<LoadGossip.Message> sender) {
        RecoveryState next = step.next();
        if (next.phase() != state.phase()) {
            phaseChangedAt = now;
            LOG.info(
                    "recovery phase={} previous={} after={} peers_heard={}",
                    next.phase(),
                    state.phase(),
                    formatSeconds(now - state.startedAt()),
                    next.observations().size());
        }
        state = next;
        for (RecoveryState.StatusMessage each : step.messages()) {
            sender.accept(new LoadGossip.Message(each.to(), each.status().encode()));
        }
    }

    /** Seeds the decisions' service time from peers, or at first from the snapshot. */
    private void seedDecisions(LoadBalancer balancer, double now) {
        Optional<RecoveryState.PeerEstimate> current = state.peerEstimate(now);
        if (current.isPresent()) {
            balancer.seedServiceTime(current.get().serviceTimeSeconds(), current.get().samples());
        } else if (!seedAttempted && restored.serviceTimeSeconds() > 0) {
            balancer.seedServiceTime(restored.serviceTimeSeconds(), restored.samples());
        }
        seedAttempted = true;
        peerEstimate = current.orElse(null);
    }

    private void storeSnapshot(double now) {
        // Jitter guards against all proxies of a machine writing at once to its one disk.
        nextSnapshotAt = now + snapshotIntervalSeconds * (0.5 + Math.random());
        writeMeasuredSnapshot();
    }

    private void writeMeasuredSnapshot() {
        snapshotStore.writeAsync(
                state.startNumber(),
                lastMeasured.seconds(),
                (int) Math.min(lastMeasured.samples(), Short.MAX_VALUE));
    }

    private static String formatSeconds(double seconds) {
        return String.format(Locale.ROOT, "%.2fs", seconds);
    }

    /** Phase, samples and snapshot as JSON, for operators. Any thread. */
    public String statusJson(double now) {
        RecoveryState current = state;
        RecoveryState.PeerEstimate estimate = peerEstimate;
        JsonObject json = new JsonObject();
        json.addProperty("start", current.startNumber());
        json.addProperty("up", now - current.startedAt());
        json.addProperty("standing", current.phase().name().toLowerCase(Locale.ROOT));
        json.addProperty("for", now - phaseChangedAt);
        json.addProperty("settled", current.isSettled());
        json.addProperty("work", current.serviceTimeSeconds());
        json.addProperty("answers", current.samples());
        json.addProperty("asked", current.pollRounds());
        json.addProperty("heard", current.observations().size());
        json.addProperty("snapshot", restored.reason());
        if (estimate != null) {
            json.addProperty("learned", estimate.serviceTimeSeconds());
            json.addProperty("from_answers", estimate.samples());
        }
        return json.toString();
    }

    /** Stores a last snapshot. Any thread, once the decision loop has ended. */
    @Override
    public void close() {
        if (snapshotStore != null) {
            if (lastMeasured.samples() > 0) {
                writeMeasuredSnapshot();
            } else {
                snapshotStore.writeAsync(
                        state.startNumber(), restored.serviceTimeSeconds(), restoredSamples());
            }
            snapshotStore.close();
        }
    }
}
