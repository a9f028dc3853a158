package lemondrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lemondrift.model.*;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** A slow, plain model of the four rules beside the module on generated days. */
class FourRulesTest {
    /** The work of each exchange; answers never take less. */
    private static final double WORK = 0.1;
    private static final RequestClass[] GRADES = {TestDeployment.PURE, TestDeployment.MARKED, TestDeployment.ONCE, TestDeployment.CELLS};

    private final Map<Request, List<Attempt>> made = new HashMap<>();
    private final Map<Attempt, AttemptOutcome> outcomes = new HashMap<>();
    private final Map<Request, Integer> answered = new HashMap<>();
    private final Map<Integer, EndpointUpdate> told = new HashMap<>();
    private final List<Attempt> open = new ArrayList<>();
    private TestDeployment w;
    private Request latest;

    @Property(tries = 150, seed = "20261201")
    void theModuleKeepsTheRules(@ForAll long seed, @ForAll @IntRange(min = 1, max = 7) int backends,
            @ForAll boolean byProbe, @ForAll @IntRange(min = 1, max = 40) int pace) {
        Random chance = new Random(seed);
        w = new TestDeployment(TestDeployment.settings(3, chance.nextBoolean(), byProbe ? TestDeployment.PROBES : TestDeployment.ANSWERS,
                byProbe), 7);
        w.watcher = this::check;
        List.of(made, outcomes, answered, told).forEach(Map::clear);
        open.clear();
        TestDeployment.lines(backends).forEach(line -> told.put(line.backend(), line));
        w.list(true, true, TestDeployment.lines(backends));
        for (int step = 0; step < 300; step++) {
            w.loads.put(chance.nextInt(backends), chance.nextInt(4) == 0 ? null
                    : new double[] {chance.nextDouble(), chance.nextInt(4)});
            w.wakeUntil(w.now + chance.nextDouble() * pace / 100);
            endOverdue();
            event(chance, backends);
        }
        w.wakeUntil(w.now + 3);
        endOverdue();
        made.keySet().forEach(x -> assertEquals(1, answered.getOrDefault(x, 0), "one final answer each"));
    }

    /** Hundreds of proxies, told of one start at once, share its budget; each keeps only its own part. */
    @Property(tries = 12, seed = "20261201")
    void manyProxiesTogetherPushNoColdBackendOver(@ForAll @IntRange(min = 2, max = 500) int proxies,
            @ForAll @IntRange(min = 1, max = 4) int aSecond) {
        List<Double> sent = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            TestDeployment each = new TestDeployment(TestDeployment.settings(proxies, false, TestDeployment.ANSWERS, true), i);
            each.list(true, i % 2 == 0, List.of(TestDeployment.line(0, EndpointUpdate.State.READY, each.now)));
            for (double at = 0.5 / aSecond; at < 6; at += 1.0 / aSecond) {
                each.wakeUntil(100 + at);
                Attempt f = each.arrive(0);
                if (f != null) {
                    sent.add(at);
                    each.end(f, AttemptOutcome.DELIVERED, 0, 0);
                }
            }
        }
        for (double from = 0; from < 4; from += 0.25) {
            double start = from, end = from + TestDeployment.RULES.fallWindow();
            long count = sent.stream().filter(at -> at >= start && at < end).count();
            double share = TestDeployment.RULES.coldFrom() + (1 - TestDeployment.RULES.coldFrom()) * from / TestDeployment.RULES.cold();
            double bearable = TestDeployment.RULES.fallMultiple() * share * TestDeployment.RULES.fallWindow();
            assertTrue(count * WORK <= bearable + WORK, count + " from " + from);
        }
    }

    private void event(Random chance, int backends) {
        int kind = chance.nextInt(20);
        if (kind < 9) {
            latest = new Request(made.size(), chance.nextInt(4), 0, w.now, chance.nextInt(4) == 0 ? 1.2 : 2);
            made.put(latest, new ArrayList<>());
            w.did(w.balancer.exchangeArrived(w.now, latest));
        } else if (kind < 16 && !open.isEmpty()) {
            Attempt f = open.get(chance.nextInt(open.size()));
            AttemptOutcome outcome = AttemptOutcome.values()[chance.nextInt(AttemptOutcome.values().length)];
            if (outcome != AttemptOutcome.DELIVERED || w.now - f.sent >= WORK) {
                end(f, outcome, chance.nextDouble());
            }
        } else if (kind < 18) {
            int i = chance.nextInt(backends + 2);
            EndpointUpdate.State state = EndpointUpdate.State.values()[chance.nextInt(3)];
            told.put(i, TestDeployment.line(i, state, chance.nextBoolean() ? w.now : 0));
            w.list(false, false, List.of(told.get(i)));
        } else if (kind == 18) {
            w.did(w.balancer.probeEnded(w.now, chance.nextInt(backends), AttemptOutcome.values()[chance.nextInt(8)],
                    new double[] {0, 0}));
        } else if (latest != null && !answered.containsKey(latest)) {
            answered.put(latest, 1);
            w.did(w.balancer.clientLeft(w.now, latest));
        }
    }

    /** A forward whose time is up ends as a time-out, so that its exchange can be answered. */
    private void endOverdue() {
        for (Attempt f : List.copyOf(open)) {
            if (w.now >= f.sent + f.timeOut) {
                end(f, AttemptOutcome.TIMED_OUT, 1);
            }
        }
    }

    private void end(Attempt f, AttemptOutcome outcome, double utilisation) {
        open.remove(f);
        outcomes.put(f, outcome);
        if (outcome == AttemptOutcome.DELIVERED) {
            answered.putIfAbsent(f.exchange, 1);
        }
        w.did(w.balancer.forwardEnded(w.now, f, outcome, w.now - f.sent, answered.containsKey(f.exchange),
                new double[] {utilisation, 0}));
    }

    private void check(Decision turn) {
        for (Attempt f : turn.sends) {
            List<Attempt> before = made.get(f.exchange);
            assertTrue(!answered.containsKey(f.exchange) && w.now < f.exchange.expiry, "rule 1: sent late");
            before.forEach(b -> assertTrue(outcomes.containsKey(b), "two forwards out at once"));
            before.stream().filter(b -> !outcomes.get(b).neverRan).findFirst().ifPresent(b ->
                    assertTrue(mayRepeat(GRADES[f.exchange.grade], b, f), "rule 2: " + outcomes.get(b)));
            assertEquals(EndpointUpdate.State.READY, told.get(f.backend).state(), "rule 3");
            before.add(f);
            open.add(f);
            assertTrue(work(f.backend) <= budget(f.backend) + WORK, "rule 4: " + work(f.backend));
        }
        for (Decision.Answer a : turn.answers) {
            assertTrue(w.now <= a.exchange().expiry, "rule 1: answered late");
            assertEquals(1, answered.merge(a.exchange(), 1, Integer::sum), "rule 1: answered twice");
            boolean harmless = made.get(a.exchange()).stream()
                    .allMatch(f -> outcomes.containsKey(f) && outcomes.get(f).neverRan);
            assertTrue(!a.shed() || harmless || a.exchange().grade == 0, "rule 2: shed, may have run");
        }
    }

    private boolean mayRepeat(RequestClass grade, Attempt ran, Attempt again) {
        EndpointUpdate from = told.get(ran.backend);
        EndpointUpdate to = told.get(again.backend);
        return grade.effect() == Idempotency.PURE || grade.effect() == Idempotency.RECEIPTED
                && w.now - ran.sent <= grade.receiptMemory() && from.location() == to.location()
                && (grade.group() == DeduplicationScope.LOCATION || from.cell() == to.cell());
    }

    /** All that was sent to a backend within the window up to now, since it started. */
    private double work(int i) {
        return WORK * made.values().stream().flatMap(List::stream).filter(f -> f.backend == i
                && f.sent > w.now - TestDeployment.RULES.fallWindow() && f.sent >= told.get(i).started()).count();
    }

    /** This proxy's part of what a cold backend bears in one window; without bound where it is warm. */
    private double budget(int i) {
        double age = (w.now - told.get(i).started()) / TestDeployment.RULES.cold();
        double share = TestDeployment.RULES.coldFrom() + (1 - TestDeployment.RULES.coldFrom()) * age;
        return told.get(i).started() == 0 || age >= 1 ? Double.POSITIVE_INFINITY
                : TestDeployment.RULES.fallMultiple() * share * TestDeployment.RULES.fallWindow() / 3;
    }
}
