package lemondrift;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import lemondrift.shadow.ShadowEvaluator;

/** One proxy's decisions in a small made-up deployment, and frames built by hand. */
final class TestDeployment {
    static final RequestClass PURE =
            new RequestClass(1, 0, 1, 2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final RequestClass MARKED =
            new RequestClass(
                    4, 0, 1, 2, Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.LOCATION, 0.5);
    static final RequestClass ONCE =
            new RequestClass(8, 0, 1, 2, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final RequestClass CELLS =
            new RequestClass(
                    2, 0, 1, 2, Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL, 0.8);
    static final Settings.LoadReports ANSWERS = new Settings.LoadReports(true, 0, 1, false, -1);
    static final Settings.LoadReports PROBES = new Settings.LoadReports(false, 0, -1, false, -1);
    static final Settings.Rules RULES = new Settings.Rules(0.25, 8, 3, 2, 10);

    final LoadBalancer balancer;
    final List<Decision.LocalReply> answers = new ArrayList<>();
    final List<Attempt> sends = new ArrayList<>();
    final List<Attempt> cancels = new ArrayList<>();
    final List<Integer> probes = new ArrayList<>();
    final List<Decision.EndpointListCall> listCalls = new ArrayList<>();

    /**
     * What each backend answers to a probe: its utilisation and what it holds; null is no answer.
     */
    final Map<Integer, double[]> loads = new HashMap<>();

    double now = 100;
    double wakeAt;
    Consumer<Decision> watcher = decision -> {};
    private final ShadowEvaluator shadow;

    TestDeployment(Settings settings, long seed) {
        this(settings, seed, null);
    }

    /** One that is watched, where the shadow is not null. */
    TestDeployment(Settings settings, long seed, ShadowEvaluator shadow) {
        balancer = new LoadBalancer(settings, seed);
        this.shadow = shadow;
    }

    private void watch(Consumer<ShadowEvaluator> event) {
        if (shadow != null) {
            event.accept(shadow);
        }
    }

    static TestDeployment of(int backends) {
        TestDeployment world = new TestDeployment(settings(3, false, ANSWERS, true), 7);
        world.list(true, false, lines(backends));
        return world;
    }

    static Settings settings(
            int balancers, boolean onRequest, Settings.LoadReports reports, boolean mayProbe) {
        return new Settings(
                balancers,
                2,
                0,
                onRequest,
                List.of(PURE, MARKED, ONCE, CELLS),
                new double[0],
                1,
                false,
                reports,
                new Settings.Limits(true, mayProbe, 4, 0.5),
                RULES,
                new Settings.Costs(0.05, 0.002));
    }

    /** The same where clients mark their retries. */
    static Settings marked(Settings settings) {
        return new Settings(
                settings.proxyCount(),
                settings.locationCount(),
                settings.location(),
                settings.pollsEndpointList(),
                settings.requestClasses(),
                settings.tenantQuotaPerSecond(),
                settings.overQuotaWeight(),
                true,
                settings.loadReports(),
                settings.limits(),
                settings.rules(),
                settings.costs());
    }

    static List<EndpointUpdate> lines(int backends) {
        List<EndpointUpdate> updates = new ArrayList<>();
        for (int i = 0; i < backends; i++) {
            updates.add(line(i, EndpointUpdate.State.READY, 0));
        }
        return updates;
    }

    static EndpointUpdate line(int i, EndpointUpdate.State state, double started) {
        return new EndpointUpdate(i, false, i % 2, i % 4, state, started);
    }

    void did(Decision decision) {
        watcher.accept(decision);
        watch(s -> s.decided(now, decision));
        answers.addAll(decision.localReplies);
        sends.addAll(decision.attempts);
        cancels.addAll(decision.cancellations);
        probes.addAll(decision.probes);
        listCalls.addAll(decision.endpointListCalls);
        wakeAt = decision.wakeAt;
        for (int i : List.copyOf(decision.probes)) {
            double[] load = loads.getOrDefault(i, new double[] {0, 0});
            if (load != null) {
                // No two reports are quite the same, unless one is told again.
                double[] fresh = load.clone();
                fresh[0] += 1e-9 * probes.size();
                watch(s -> s.probeEnded(now, i, AttemptOutcome.SUCCESS, fresh));
                did(balancer.probeEnded(now, i, AttemptOutcome.SUCCESS, fresh));
            }
        }
    }

    TestDeployment load(double... utilisation) {
        for (int i = 0; i < utilisation.length; i++) {
            loads.put(i, new double[] {utilisation[i], 0});
        }
        return this;
    }

    void list(boolean whole, boolean stale, List<EndpointUpdate> updates) {
        watch(s -> s.endpointsListed(now, whole, stale, updates));
        did(balancer.endpointsListed(now, whole, stale, updates));
    }

    /** The forward that a new exchange is sent by, or null. */
    Attempt arrive(int requestClass) {
        int before = sends.size();
        Request request = new Request(sends.size(), requestClass, 0, now, 2);
        watch(s -> s.requestArrived(now, request));
        did(balancer.requestArrived(now, request));
        return sends.size() > before ? sends.get(before) : null;
    }

    /** The forward that follows, or null. */
    Attempt end(Attempt attempt, AttemptOutcome outcome, double... loadReport) {
        int before = sends.size();
        boolean over = outcome == AttemptOutcome.SUCCESS || attempt.request.completed;
        double[] told = loadReport.length == 0 ? null : loadReport;
        watch(s -> s.attemptEnded(now, attempt, outcome, now - attempt.sentAt, over, told));
        did(balancer.attemptEnded(now, attempt, outcome, now - attempt.sentAt, over, told));
        return sends.size() > before ? sends.get(before) : null;
    }

    void wakeUntil(double time) {
        for (int wakes = 0; wakeAt <= time; wakes++) {
            if (wakes > 10_000) {
                throw new AssertionError("wakes without end");
            }
            now = Math.max(now, wakeAt);
            did(balancer.wake(now));
            watch(s -> s.wake(now));
        }
        now = time;
    }

    static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    /** A batch at 61,233.0 ms of records given in hex; each states its own code and length. */
    static byte[] batch(int count, String... records) {
        byte[] body = hex(String.join("", records));
        return ByteBuffer.allocate(16 + body.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(12 + body.length)
                .putDouble(61_233)
                .putInt(count)
                .put(body)
                .array();
    }

    static String born(int instance, String... dropped) {
        String text =
                "siblings=3\n"
                        + "zone=0\n"
                        + "membershipMode=pushed\n"
                        + "report.how=inline\n"
                        + "report.names=util,queue\n"
                        + "limits.mostForwards=5\n"
                        + "limits.mayCancel=true\n"
                        + "limits.retryAfter=true\n"
                        + "limits.maxRetryAfter=500\n"
                        + "invariants.coldFrom=0.3\n"
                        + "invariants.cold=8000\n"
                        + "invariants.fallMultiple=3\n"
                        + "invariants.overloadFor=2000\n"
                        + "serviceGrades.count=1\n"
                        + "serviceGrades.0.benefit=1\n"
                        + "serviceGrades.0.contractTime=350\n"
                        + "serviceGrades.0.expiry=880\n"
                        + "serviceGrades.0.effect=retryable\n"
                        + "something.new=1\n";
        for (String key : dropped) {
            text = text.replaceAll(key + "=.*\n", "");
        }
        byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        ByteBuffer b =
                ByteBuffer.allocate(21 + bytes.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .put((byte) 1)
                        .putInt(16 + bytes.length)
                        .putInt(instance)
                        .putLong(42)
                        .putInt(bytes.length)
                        .put(bytes);
        return HexFormat.of().formatHex(b.array());
    }
}
