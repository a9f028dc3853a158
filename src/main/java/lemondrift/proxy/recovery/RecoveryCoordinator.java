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
 * Runs the recovery of a proxy after its start. Used only on the decision thread, except where
 * noted.
 */
public final class RecoveryCoordinator implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RecoveryCoordinator.class);

    /** Called when a peer has restarted. */
    public interface PeerRestartListener {
        void peerRestarted(int proxy, long startNumber);
    }

    private record ReceivedStatus(int from, PeerStatus status) {}

    private final Queue<ReceivedStatus> receivedStatuses = new ConcurrentLinkedQueue<>();

    /** Null if there is no persistent storage. */
    private final SnapshotStore snapshotStore;

    /** The values restored from the snapshot of the previous run. */
    private final Snapshot.RestoredValues restored;

    private final double snapshotIntervalSeconds;
    private double nextSnapshotAt;

    /** The last measured mean service time; updated only if snapshots are stored. */
    private volatile ServiceTime lastMeasured = new ServiceTime(0, 0);

    /** Immutable, so any thread may read it. */
    private volatile RecoveryState state;

    /**
     * The last estimate from peers; null if there is none. Not updated once the state is settled.
     */
    private volatile RecoveryState.PeerEstimate peerEstimate;

    /** When the phase last changed. */
    private volatile double phaseChangedAt;

    /** Whether the balancer has been seeded with a first service time, if there was one. */
    private boolean seedAttempted;

    /**
     * Starts the recovery of a proxy. If there is persistent storage, the start number is stored
     * before the constructor returns. Guards against reusing a start number that peers have already
     * seen.
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
        // Guards against repeating a start number after the wall clock went back.
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

    /** Returns whether a datagram is a status of a peer, not gossip. Any thread. */
    public static boolean isRecoveryDatagram(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == PeerStatus.KIND;
    }

    /**
     * Queues the status of a peer until the next {@link #advance}; drops an unreadable one. Any
     * thread.
     */
    public void enqueueDatagram(int from, byte[] datagram) {
        PeerStatus.decode(datagram)
                .ifPresent(status -> receivedStatuses.add(new ReceivedStatus(from, status)));
    }

    public long startNumber() {
        return state.startNumber();
    }

    /**
     * Returns when to call {@link #advance} at the latest, in seconds of the clock; infinite if
     * recovery is settled and no snapshots are stored.
     */
    public double wakeAt() {
        return snapshotStore == null ? state.wakeAt() : Math.min(state.wakeAt(), nextSnapshotAt);
    }

    /**
     * Processes the statuses received from peers, seeds the balancer with the service time that
     * they have measured, polls peers if a poll is due, and stores snapshots periodically.
     *
     * @param listener called for each peer that has restarted
     * @param sender sends messages to peers
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
            seedBalancer(balancer, now);
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

    /** Seeds the balancer's service time from peers, or at first from the snapshot. */
    private void seedBalancer(LoadBalancer balancer, double now) {
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
        // Jitter guards against all proxies of a machine writing to its one disk at the same time.
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

    /** Returns the phase, samples and snapshot as JSON, for operators. Any thread. */
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

    /** Stores the last snapshot. Any thread, after the decision loop has ended. */
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
