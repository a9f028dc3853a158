package lemondrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** A slow, plain model of the four rules beside the module on generated days. */
class FourRulesTest {
    /** The work of each exchange; answers never take less. */
    private static final double WORK = 0.1;

    private static final RequestClass[] GRADES = {
        TestDeployment.PURE, TestDeployment.MARKED, TestDeployment.ONCE, TestDeployment.CELLS
    };

    private final Map<Request, List<Attempt>> made = new HashMap<>();
    private final Map<Attempt, AttemptOutcome> outcomes = new HashMap<>();
    private final Map<Request, Integer> answered = new HashMap<>();
    private final Map<Integer, EndpointUpdate> told = new HashMap<>();
    private final List<Attempt> open = new ArrayList<>();
    private TestDeployment w;
    private Request latest;

    @Property(tries = 150, seed = "20261201")
    void theModuleKeepsTheRules(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 7) int backends,
            @ForAll boolean byProbe,
            @ForAll @IntRange(min = 1, max = 40) int pace) {
        Random chance = new Random(seed);
        w =
                new TestDeployment(
                        TestDeployment.settings(
                                3,
                                chance.nextBoolean(),
                                byProbe ? TestDeployment.PROBES : TestDeployment.ANSWERS,
                                byProbe),
                        7);
        w.watcher = this::check;
        List.of(made, outcomes, answered, told).forEach(Map::clear);
        open.clear();
        TestDeployment.lines(backends).forEach(update -> told.put(update.backend(), update));
        w.list(true, true, TestDeployment.lines(backends));
        for (int step = 0; step < 300; step++) {
            w.loads.put(
                    chance.nextInt(backends),
                    chance.nextInt(4) == 0
                            ? null
                            : new double[] {chance.nextDouble(), chance.nextInt(4)});
            w.wakeUntil(w.now + chance.nextDouble() * pace / 100);
            endOverdue();
            event(chance, backends);
        }
        w.wakeUntil(w.now + 3);
        endOverdue();
        made.keySet()
                .forEach(
                        request ->
                                assertEquals(
                                        1,
                                        answered.getOrDefault(request, 0),
                                        "one final answer each"));
    }

    /**
     * Hundreds of proxies, told of one start at once, share its budget; each keeps only its own
     * part.
     */
    @Property(tries = 12, seed = "20261201")
    void manyProxiesTogetherPushNoColdBackendOver(
            @ForAll @IntRange(min = 2, max = 500) int proxies,
            @ForAll @IntRange(min = 1, max = 4) int aSecond) {
        List<Double> sent = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            TestDeployment each =
                    new TestDeployment(
                            TestDeployment.settings(proxies, false, TestDeployment.ANSWERS, true),
                            i);
            each.list(
                    true,
                    i % 2 == 0,
                    List.of(TestDeployment.line(0, EndpointUpdate.State.READY, each.now)));
            for (double at = 0.5 / aSecond; at < 6; at += 1.0 / aSecond) {
                each.wakeUntil(100 + at);
                Attempt attempt = each.arrive(0);
                if (attempt != null) {
                    sent.add(at);
                    each.end(attempt, AttemptOutcome.SUCCESS, 0, 0);
                }
            }
        }
        for (double from = 0; from < 4; from += 0.25) {
            double start = from;
            double end = from + TestDeployment.RULES.overloadWindowSeconds();
            long count = sent.stream().filter(at -> at >= start && at < end).count();
            double share =
                    TestDeployment.RULES.slowStartMinShare()
                            + (1 - TestDeployment.RULES.slowStartMinShare())
                                    * from
                                    / TestDeployment.RULES.slowStartSeconds();
            double bearable =
                    TestDeployment.RULES.overloadFactor()
                            * share
                            * TestDeployment.RULES.overloadWindowSeconds();
            assertTrue(count * WORK <= bearable + WORK, count + " from " + from);
        }
    }

    private void event(Random chance, int backends) {
        int kind = chance.nextInt(20);
        if (kind < 9) {
            latest =
                    new Request(
                            made.size(),
                            chance.nextInt(4),
                            0,
                            w.now,
                            chance.nextInt(4) == 0 ? 1.2 : 2);
            made.put(latest, new ArrayList<>());
            w.did(w.balancer.requestArrived(w.now, latest));
        } else if (kind < 16 && !open.isEmpty()) {
            Attempt attempt = open.get(chance.nextInt(open.size()));
            AttemptOutcome outcome =
                    AttemptOutcome.values()[chance.nextInt(AttemptOutcome.values().length)];
            if (outcome != AttemptOutcome.SUCCESS || w.now - attempt.sentAt >= WORK) {
                end(attempt, outcome, chance.nextDouble());
            }
        } else if (kind < 18) {
            int i = chance.nextInt(backends + 2);
            EndpointUpdate.State state = EndpointUpdate.State.values()[chance.nextInt(3)];
            told.put(i, TestDeployment.line(i, state, chance.nextBoolean() ? w.now : 0));
            w.list(false, false, List.of(told.get(i)));
        } else if (kind == 18) {
            w.did(
                    w.balancer.probeEnded(
                            w.now,
                            chance.nextInt(backends),
                            AttemptOutcome.values()[chance.nextInt(8)],
                            new double[] {0, 0}));
        } else if (latest != null && !answered.containsKey(latest)) {
            answered.put(latest, 1);
            w.did(w.balancer.clientLeft(w.now, latest));
        }
    }

    /** A forward whose time is up ends as a time-out, so that its exchange can be answered. */
    private void endOverdue() {
        for (Attempt attempt : List.copyOf(open)) {
            if (w.now >= attempt.sentAt + attempt.timeoutSeconds) {
                end(attempt, AttemptOutcome.TIMED_OUT, 1);
            }
        }
    }

    private void end(Attempt attempt, AttemptOutcome outcome, double utilisation) {
        open.remove(attempt);
        outcomes.put(attempt, outcome);
        if (outcome == AttemptOutcome.SUCCESS) {
            answered.putIfAbsent(attempt.request, 1);
        }
        w.did(
                w.balancer.attemptEnded(
                        w.now,
                        attempt,
                        outcome,
                        w.now - attempt.sentAt,
                        answered.containsKey(attempt.request),
                        new double[] {utilisation, 0}));
    }

    private void check(Decision decision) {
        for (Attempt attempt : decision.attempts) {
            List<Attempt> before = made.get(attempt.request);
            assertTrue(
                    !answered.containsKey(attempt.request) && w.now < attempt.request.deadline,
                    "rule 1: sent late");
            before.forEach(b -> assertTrue(outcomes.containsKey(b), "two forwards out at once"));
            before.stream()
                    .filter(b -> !outcomes.get(b).neverExecuted)
                    .findFirst()
                    .ifPresent(
                            b ->
                                    assertTrue(
                                            mayRepeat(
                                                    GRADES[attempt.request.requestClass],
                                                    b,
                                                    attempt),
                                            "rule 2: " + outcomes.get(b)));
            assertEquals(EndpointUpdate.State.READY, told.get(attempt.backend).state(), "rule 3");
            before.add(attempt);
            open.add(attempt);
            assertTrue(
                    work(attempt.backend) <= budget(attempt.backend) + WORK,
                    "rule 4: " + work(attempt.backend));
        }
        for (Decision.LocalReply a : decision.localReplies) {
            assertTrue(w.now <= a.request().deadline, "rule 1: answered late");
            assertEquals(1, answered.merge(a.request(), 1, Integer::sum), "rule 1: answered twice");
            boolean harmless =
                    made.get(a.request()).stream()
                            .allMatch(
                                    attempt ->
                                            outcomes.containsKey(attempt)
                                                    && outcomes.get(attempt).neverExecuted);
            assertTrue(
                    !a.rejected() || harmless || a.request().requestClass == 0,
                    "rule 2: shed, may have run");
        }
    }

    private boolean mayRepeat(RequestClass requestClass, Attempt ran, Attempt again) {
        EndpointUpdate from = told.get(ran.backend);
        EndpointUpdate to = told.get(again.backend);
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && w.now - ran.sentAt <= requestClass.idempotencyKeyTtlSeconds()
                        && from.location() == to.location()
                        && (requestClass.deduplicationScope() == DeduplicationScope.LOCATION
                                || from.cell() == to.cell()));
    }

    /** All that was sent to a backend within the window up to now, since it started. */
    private double work(int i) {
        return WORK
                * made.values().stream()
                        .flatMap(List::stream)
                        .filter(
                                attempt ->
                                        attempt.backend == i
                                                && attempt.sentAt
                                                        > w.now
                                                                - TestDeployment.RULES
                                                                        .overloadWindowSeconds()
                                                && attempt.sentAt >= told.get(i).startedAt())
                        .count();
    }

    /**
     * This proxy's part of what a cold backend bears in one window; without bound where it is warm.
     */
    private double budget(int i) {
        double age = (w.now - told.get(i).startedAt()) / TestDeployment.RULES.slowStartSeconds();
        double share =
                TestDeployment.RULES.slowStartMinShare()
                        + (1 - TestDeployment.RULES.slowStartMinShare()) * age;
        return told.get(i).startedAt() == 0 || age >= 1
                ? Double.POSITIVE_INFINITY
                : TestDeployment.RULES.overloadFactor()
                        * share
                        * TestDeployment.RULES.overloadWindowSeconds()
                        / 3;
    }
}
