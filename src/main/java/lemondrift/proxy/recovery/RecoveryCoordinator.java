package lemondrift.proxy.recovery;

import com.google.gson.JsonObject;
import java.util.Locale;
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

/** Carries out a proxy's way back to service. Owner's thread only, but where it says otherwise. */
public final class RecoveryCoordinator implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RecoveryCoordinator.class);

    /** Who is to know that another proxy has started anew. */
    public interface PeerRestartListener {
        void peerRestarted(int proxy, long start);
    }

    private record Said(int from, PeerStatus hello) {}

    private final Queue<Said> said = new ConcurrentLinkedQueue<>();

    /** Null where no disk lasts. */
    private final SnapshotStore keeper;

    private final Snapshot.Trusted trusted;
    private final double period;
    private double keepAt;

    /** A value, so that any thread may look at it. */
    private volatile RecoveryState recovery;

    private volatile RecoveryState.Lesson lesson;
    private volatile double judgedAt;
    private boolean told;

    /**
     * Of a proxy by its name and number. Before it returns, the start number is kept where a disk
     * lasts. Danger: one that others have heard and that is not kept could be taken a second time.
     */
    public RecoveryCoordinator(
            RecoverySettings settings, String name, int self, int proxies, double now) {
        period = settings.snapshotIntervalSeconds();
        keeper =
                settings.snapshotFolder() == null
                        ? null
                        : new SnapshotStore(settings.snapshotFolder(), name);
        trusted = keeper == null ? Snapshot.Trusted.NOTHING : keeper.trusted();
        // Danger: a wall clock that went back would give a number that was had before.
        long start = Math.max(trusted.above() + 1, System.currentTimeMillis());
        recovery = RecoveryState.begins(settings.polling(), self, proxies, start, now);
        judgedAt = now;
        keepAt = now + period;
        if (keeper != null) {
            keeper.keepNow(start, trusted.work(), trusted.work() > 0 ? trusted.answers() : 0);
        }
        LOG.info(
                "recovery begins start={} snapshot=\"{}\" work={} answers={}",
                start,
                trusted.why(),
                trusted.work(),
                trusted.answers());
    }

    /** Whether a datagram is for this, and no telling. Any thread. */
    public static boolean isRecoveryDatagram(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == PeerStatus.KIND;
    }

    /** Any thread. */
    public void received(int from, byte[] datagram) {
        PeerStatus hello = PeerStatus.of(datagram);
        if (hello != null) {
            said.add(new Said(from, hello));
        }
    }

    public long startNumber() {
        return recovery.start();
    }

    public double wakeAt() {
        return recovery.wakeAt();
    }

    /** Follows what has come, learns for the decisions, and says what is due to others. */
    public void advance(
            double now,
            LoadBalancer balancer,
            PeerRestartListener anew,
            Consumer<LoadGossip.Message> tell) {
        boolean settled = recovery.isSettled();
        if (!settled) {
            ServiceTime measured = balancer.measuredServiceTime();
            recovery = recovery.found(measured.seconds(), (int) measured.samples());
        }
        for (Said next = said.poll(); next != null; next = said.poll()) {
            RecoveryState.Step step = recovery.heard(next.from, next.hello, now);
            if (step.anew()) {
                anew.peerRestarted(next.from, next.hello.start());
            }
            follows(step, now, tell);
        }
        follows(recovery.wake(now), now, tell);
        if (!recovery.isSettled()) {
            learns(balancer, now);
        } else if (!settled) {
            LOG.info(
                    "recovery settled standing={} after={} work={} answers={} asked={}",
                    recovery.standing(),
                    seconds(now - recovery.began()),
                    recovery.work(),
                    recovery.answers(),
                    recovery.asked());
        }
        if (keeper != null && now >= keepAt) {
            ServiceTime measured = balancer.measuredServiceTime();
            // Danger: all proxies writing in step would have one disk of a machine stand still for
            // all.
            keepAt = now + period * (0.5 + Math.random());
            keeper.keep(
                    recovery.start(),
                    measured.seconds(),
                    (int) Math.min(measured.samples(), Short.MAX_VALUE));
        }
    }

    private void learns(LoadBalancer balancer, double now) {
        RecoveryState.Lesson its = recovery.lesson(now);
        if (its != null) {
            balancer.seedServiceTime(its.work(), its.answers());
        } else if (!told && trusted.work() > 0) {
            balancer.seedServiceTime(trusted.work(), trusted.answers());
        }
        told = true;
        lesson = its;
    }

    private void follows(RecoveryState.Step step, double now, Consumer<LoadGossip.Message> tell) {
        if (step.next().standing() != recovery.standing()) {
            judgedAt = now;
            LOG.info(
                    "recovery standing={} was={} after={} heard={}",
                    step.next().standing(),
                    recovery.standing(),
                    seconds(now - recovery.began()),
                    step.next().heard().size());
        }
        recovery = step.next();
        step.sent()
                .forEach(
                        each ->
                                tell.accept(
                                        new LoadGossip.Message(each.to(), each.hello().encoded())));
    }

    private static String seconds(double span) {
        return String.format(Locale.ROOT, "%.2fs", span);
    }

    /** For people, as JSON. Any thread. */
    public String statusJson(double now) {
        RecoveryState its = recovery;
        RecoveryState.Lesson learned = lesson;
        JsonObject all = new JsonObject();
        all.addProperty("start", its.start());
        all.addProperty("up", now - its.began());
        all.addProperty("standing", its.standing().name().toLowerCase(Locale.ROOT));
        all.addProperty("for", now - judgedAt);
        all.addProperty("settled", its.isSettled());
        all.addProperty("work", its.work());
        all.addProperty("answers", its.answers());
        all.addProperty("asked", its.asked());
        all.addProperty("heard", its.heard().size());
        all.addProperty("snapshot", trusted.why());
        if (learned != null) {
            all.addProperty("learned", learned.work());
            all.addProperty("from_answers", learned.answers());
        }
        return all.toString();
    }

    /** Any thread, once the owner's has ended. */
    @Override
    public void close() {
        if (keeper != null) {
            boolean any = recovery.answers() > 0;
            keeper.keep(
                    recovery.start(),
                    any ? recovery.work() : trusted.work(),
                    any ? recovery.answers() : trusted.work() > 0 ? trusted.answers() : 0);
            keeper.close();
        }
    }
}
