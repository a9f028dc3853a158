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
import lemondrift.model.FailureReason;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import lemondrift.shadow.ShadowEvaluator;

/**
 * The balancer of one proxy in a small test deployment, and helpers that build simulator frames.
 */
final class TestDeployment {
    static final RequestClass IDEMPOTENT =
            new RequestClass(1, 0, 1, 2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final RequestClass WITH_KEY =
            new RequestClass(
                    4, 0, 1, 2, Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.LOCATION, 0.5);
    static final RequestClass NOT_IDEMPOTENT =
            new RequestClass(8, 0, 1, 2, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final RequestClass WITH_KEY_BY_CELL =
            new RequestClass(
                    2, 0, 1, 2, Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL, 0.8);
    static final Settings.LoadReports REPORTS_IN_RESPONSES =
            new Settings.LoadReports(true, 0, 1, false, -1);
    static final Settings.LoadReports REPORTS_BY_PROBE =
            new Settings.LoadReports(false, 0, -1, false, -1);
    static final Settings.Rules RULES = new Settings.Rules(0.25, 8, 3, 2, 10);

    final LoadBalancer balancer;
    final List<Decision.LocalReply> localReplies = new ArrayList<>();

    /** Returns why the last request that got a local reply was not served. */
    FailureReason lastFailureReason() {
        return localReplies.get(localReplies.size() - 1).request().failureReason;
    }

    final List<Attempt> attempts = new ArrayList<>();
    final List<Attempt> cancellations = new ArrayList<>();
    final List<Integer> probes = new ArrayList<>();
    final List<Decision.EndpointListCall> endpointListCalls = new ArrayList<>();

    /**
     * By backend: the load report that answers a probe (utilization and requests in flight); null
     * if it does not answer.
     */
    final Map<Integer, double[]> probeReports = new HashMap<>();

    double now = 100;
    double wakeAt;
    Consumer<Decision> onDecision = decision -> {};
    private final ShadowEvaluator shadow;

    TestDeployment(Settings settings, long seed) {
        this(settings, seed, null);
    }

    /** Creates a deployment with a shadow if that is not null. */
    TestDeployment(Settings settings, long seed, ShadowEvaluator shadow) {
        balancer = new LoadBalancer(settings, seed);
        this.shadow = shadow;
    }

    private void notifyShadow(Consumer<ShadowEvaluator> event) {
        if (shadow != null) {
            event.accept(shadow);
        }
    }

    static TestDeployment withBackends(int backends) {
        TestDeployment proxy =
                new TestDeployment(settings(3, false, REPORTS_IN_RESPONSES, true), 7);
        proxy.applyEndpointList(true, false, endpoints(backends));
        return proxy;
    }

    static Settings settings(
            int proxyCount,
            boolean pollsEndpointList,
            Settings.LoadReports reports,
            boolean canProbe) {
        return new Settings(
                proxyCount,
                2,
                0,
                pollsEndpointList,
                List.of(IDEMPOTENT, WITH_KEY, NOT_IDEMPOTENT, WITH_KEY_BY_CELL),
                new double[0],
                1,
                false,
                reports,
                new Settings.Limits(true, canProbe, 4, 0.5),
                RULES,
                new Settings.Costs(0.05, 0.002));
    }

    /** Returns the settings with clients that mark their retries. */
    static Settings withMarkedRetries(Settings settings) {
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

    static List<EndpointUpdate> endpoints(int backends) {
        List<EndpointUpdate> updates = new ArrayList<>();
        for (int i = 0; i < backends; i++) {
            updates.add(endpoint(i, EndpointUpdate.State.READY, 0));
        }
        return updates;
    }

    static EndpointUpdate endpoint(int backend, EndpointUpdate.State state, double startedAt) {
        return new EndpointUpdate(backend, false, backend % 2, backend % 4, state, startedAt);
    }

    void apply(Decision decision) {
        onDecision.accept(decision);
        notifyShadow(s -> s.decisionMade(now, decision));
        localReplies.addAll(decision.localReplies);
        attempts.addAll(decision.attempts);
        cancellations.addAll(decision.cancellations);
        probes.addAll(decision.probes);
        endpointListCalls.addAll(decision.endpointListCalls);
        wakeAt = decision.wakeAt;
        for (int i : List.copyOf(decision.probes)) {
            double[] report = probeReports.getOrDefault(i, new double[] {0, 0});
            if (report != null) {
                // Makes each report slightly different, because an equal one counts as repeated.
                double[] distinct = report.clone();
                distinct[0] += 1e-9 * probes.size();
                notifyShadow(s -> s.probeEnded(now, i, AttemptOutcome.SUCCESS, distinct));
                apply(balancer.probeEnded(now, i, AttemptOutcome.SUCCESS, distinct));
            }
        }
    }

    TestDeployment setUtilization(double... utilization) {
        for (int i = 0; i < utilization.length; i++) {
            probeReports.put(i, new double[] {utilization[i], 0});
        }
        return this;
    }

    void applyEndpointList(boolean full, boolean stale, List<EndpointUpdate> updates) {
        notifyShadow(s -> s.endpointsListed(now, full, stale, updates));
        apply(balancer.endpointListCompleted(now, full, stale, updates));
    }

    /** Handles a new request and returns its first attempt, or null if none is made. */
    Attempt receiveRequest(int requestClass) {
        int attemptsBefore = attempts.size();
        Request request = new Request(attempts.size(), requestClass, 0, now, 2);
        notifyShadow(s -> s.requestArrived(now, request));
        apply(balancer.requestArrived(now, request));
        return attempts.size() > attemptsBefore ? attempts.get(attemptsBefore) : null;
    }

    /** Ends an attempt and returns the attempt that follows, or null if none is made. */
    Attempt endAttempt(Attempt attempt, AttemptOutcome outcome, double... loadReport) {
        int attemptsBefore = attempts.size();
        boolean completed = outcome == AttemptOutcome.SUCCESS || attempt.request.completed;
        double[] report = loadReport.length == 0 ? null : loadReport;
        notifyShadow(
                s ->
                        s.attemptEnded(
                                now, attempt, outcome, now - attempt.sentAt, completed, report));
        apply(
                balancer.attemptEnded(
                        now, attempt, outcome, now - attempt.sentAt, completed, report));
        return attempts.size() > attemptsBefore ? attempts.get(attemptsBefore) : null;
    }

    void wakeUntil(double time) {
        for (int wakes = 0; wakeAt <= time; wakes++) {
            if (wakes > 10_000) {
                throw new AssertionError("more than 10,000 wake-ups until " + time + " s");
            }
            now = Math.max(now, wakeAt);
            apply(balancer.wake(now));
            notifyShadow(s -> s.wake(now));
        }
        now = time;
    }

    static byte[] parseHex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    /**
     * Returns a frame with a batch at 61,233.0 ms. Its records are given in hexadecimal digits;
     * each contains its own code and length.
     */
    static byte[] batchFrame(int count, String... records) {
        byte[] body = parseHex(String.join("", records));
        return ByteBuffer.allocate(16 + body.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(12 + body.length)
                .putDouble(61_233)
                .putInt(count)
                .put(body)
                .array();
    }

    static String startRecordHex(int instance, String... omittedKeys) {
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
        for (String key : omittedKeys) {
            text = text.replaceAll(key + "=.*\n", "");
        }
        byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        ByteBuffer buffer =
                ByteBuffer.allocate(21 + bytes.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .put((byte) 1)
                        .putInt(16 + bytes.length)
                        .putInt(instance)
                        .putLong(42)
                        .putInt(bytes.length)
                        .put(bytes);
        return HexFormat.of().formatHex(buffer.array());
    }
}
