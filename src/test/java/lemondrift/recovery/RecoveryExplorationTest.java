package lemondrift.recovery;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Three proxies, every order of their messages, with losses, repeats and starts anew at every step,
 * breadth first to a bound. What never arrives is lost. What is found of an exchange's work is the
 * finder's start number, so that it is seen whose it is.
 */
class RecoveryExplorationTest {
    private static final int PROXIES = 3;
    private static final int TICKS = 5;
    private static final int MOST = 600_000;
    private static final int FAIR = 12;
    private static final int EVERY = 97;
    private static final PeerPollBackoff PACE = new PeerPollBackoff(1, 1, 2, 1, 2);

    private record Message(int from, int to, PeerStatus hello) {}

    /** All there is at one time, and what may still go wrong. */
    private record All(
            List<RecoveryState> proxies,
            Map<Message, Integer> under,
            int now,
            int starts,
            int repeats,
            int answers,
            int next) {}

    /** The core, or one that is broken on purpose. */
    private static class Core {
        RecoveryState.Lesson lesson(RecoveryState one, double now) {
            return one.lesson(now);
        }

        RecoveryState.Step heard(RecoveryState one, int from, PeerStatus hello, double now) {
            return one.heard(from, hello, now);
        }

        RecoveryState.Step wake(RecoveryState one, double now) {
            return one.wake(now);
        }
    }

    private Core core = new Core();
    private String broken;
    private int seen;

    private void must(boolean holds, String promise, All at) {
        broken = broken == null && !holds ? promise + " at " + at : broken;
    }

    private All with(All at, int p, RecoveryState.Step step, Map<Message, Integer> under) {
        List<RecoveryState> all = new ArrayList<>(at.proxies);
        all.set(p, step.next());
        for (RecoveryState.Sent each : step.sent()) {
            PeerStatus its = each.hello();
            must(
                    its.answers() == step.next().answers()
                            && (its.answers() == 0 || its.work() == its.start()),
                    "a proxy tells only what it has found itself",
                    at);
            under.merge(new Message(p, each.to(), its), 1, Integer::sum);
        }
        return new All(all, under, at.now, at.starts, at.repeats, at.answers, at.next);
    }

    private All deliver(All at, Message message, boolean again) {
        Map<Message, Integer> under = new HashMap<>(at.under);
        if (!again) {
            under.computeIfPresent(message, (m, n) -> n > 1 ? n - 1 : null);
        }
        RecoveryState one = at.proxies.get(message.to);
        PeerObservation before = one.heard().get(message.from);
        RecoveryState.Step step = core.heard(one, message.from, message.hello, at.now);
        boolean former =
                (before != null
                                && at.now - before.at() <= PACE.forget()
                                && message.hello.start() < before.hello().start())
                        || (message.hello.to() != 0 && message.hello.to() != one.start());
        must(
                !former || (step.next().equals(one) && step.sent().isEmpty()),
                "a former self changes nothing",
                at);
        All then = with(at, message.to, step, under);
        return new All(
                then.proxies,
                then.under,
                at.now,
                at.starts,
                at.repeats - (again ? 1 : 0),
                at.answers,
                at.next);
    }

    /** Time goes on for all, and who is due asks. */
    private All tick(All at) {
        All then =
                new All(
                        at.proxies,
                        at.under,
                        at.now + 1,
                        at.starts,
                        at.repeats,
                        at.answers,
                        at.next);
        for (int p = 0; p < PROXIES; p++) {
            then =
                    with(
                            then,
                            p,
                            core.wake(then.proxies.get(p), then.now),
                            new HashMap<>(then.under));
        }
        return then;
    }

    private All finds(All at, int p) {
        RecoveryState one = at.proxies.get(p);
        List<RecoveryState> all = new ArrayList<>(at.proxies);
        all.set(p, one.found((double) one.start(), one.answers() + 1));
        return new All(all, at.under, at.now, at.starts, at.repeats, at.answers - 1, at.next);
    }

    private All startsAnew(All at, int p) {
        List<RecoveryState> all = new ArrayList<>(at.proxies);
        all.set(p, RecoveryState.begins(PACE, p, PROXIES, at.next, at.now));
        return new All(all, at.under, at.now, at.starts - 1, at.repeats, at.answers, at.next + 1);
    }

    private List<All> after(All at) {
        List<All> all = new ArrayList<>();
        for (Message each : at.under.keySet()) {
            all.add(deliver(at, each, false));
            if (at.repeats > 0) {
                all.add(deliver(at, each, true));
            }
        }
        for (int p = 0; p < PROXIES; p++) {
            if (at.answers > 0 && !at.proxies.get(p).isSettled()) {
                all.add(finds(at, p));
            }
            if (at.starts > 0) {
                all.add(startsAnew(at, p));
            }
        }
        if (at.now < TICKS) {
            all.add(tick(at));
        }
        return all;
    }

    private void promises(All at) {
        for (RecoveryState one : at.proxies) {
            List<PeerStatus> fresh =
                    one.heard().values().stream()
                            .filter(each -> at.now - each.at() <= PACE.forget())
                            .map(PeerObservation::hello)
                            .toList();
            RecoveryState.Lesson lesson = core.lesson(one, at.now);
            must(
                    lesson == null
                            || fresh.stream()
                                    .anyMatch(
                                            each ->
                                                    each.work() == lesson.work()
                                                            && each.answers() > 0),
                    "no figure is believed past its age or made up",
                    at);
            // What it is among them was judged when something last happened to it, one tick ago at
            // the most.
            if (!one.isSettled() && one.askAt() > at.now) {
                boolean any =
                        one.heard().values().stream()
                                .anyMatch(each -> at.now - each.at() <= PACE.forget() + 1);
                boolean warm =
                        one.heard().values().stream().anyMatch(each -> each.hello().settled());
                must(
                        one.standing() != RecoveryPhase.ALL_NEW || any,
                        "not heard is not all new",
                        at);
                must(
                        one.standing() != RecoveryPhase.ALONE || warm,
                        "alone only beside one that knows",
                        at);
            }
        }
    }

    /** Danger: a history without further faults that does not end with all of them back at work. */
    private void ends(All from) {
        All at = from;
        for (int i = 0; i < FAIR; i++) {
            for (int n = 0; n < 200 && !at.under.isEmpty(); n++) {
                at = deliver(at, at.under.keySet().iterator().next(), false);
            }
            for (int p = 0; p < PROXIES - 1 && i > FAIR / 2; p++) {
                at = at.proxies.get(p).isSettled() ? at : finds(at, p);
            }
            at = tick(at);
        }
        RecoveryState last = at.proxies.get(PROXIES - 1);
        must(
                at.proxies.stream().limit(PROXIES - 1).allMatch(RecoveryState::isSettled),
                "who has answers settles",
                at);
        must(
                last.isSettled()
                        || (last.standing() == RecoveryPhase.ALONE && last.lesson(at.now) != null),
                "one that has none is alone among them at last, and is taught",
                at);
    }

    /** The first promise that is broken; null where all hold to the bound. */
    private String explore() {
        List<RecoveryState> all = new ArrayList<>();
        for (int p = 0; p < PROXIES; p++) {
            all.add(RecoveryState.begins(PACE, p, PROXIES, 1 + p, 0));
        }
        All first = new All(all, Map.of(), 0, 1, 1, 3, 1 + PROXIES);
        Set<All> known = new HashSet<>(Set.of(first));
        Deque<All> open = new ArrayDeque<>(known);
        while (!open.isEmpty() && known.size() < MOST && broken == null) {
            All at = open.remove();
            promises(at);
            if (++seen % EVERY == 0) {
                ends(at);
            }
            for (All each : after(at)) {
                if (known.add(each)) {
                    open.add(each);
                }
            }
        }
        return broken;
    }

    @Test
    void allPromisesHoldInEveryOrderOfEventsToTheBound() {
        assertNull(explore());
        assertTrue(seen > 5_000, seen + " states seen");
    }

    private static void caught(String promise, Core mutant) {
        RecoveryExplorationTest its = new RecoveryExplorationTest();
        its.core = mutant;
        String broken = its.explore();
        assertTrue(broken != null && broken.startsWith(promise), "caught by: " + broken);
    }

    @Test
    void oneThatHearsFormerSelvesIsCaught() {
        caught(
                "a former self",
                new Core() {
                    @Override
                    RecoveryState.Step heard(
                            RecoveryState one, int from, PeerStatus hello, double now) {
                        PeerObservation before = one.heard().get(from);
                        long start =
                                before == null
                                        ? hello.start()
                                        : Math.max(hello.start(), before.hello().start());
                        return one.heard(
                                from,
                                new PeerStatus(
                                        start,
                                        0,
                                        hello.asks(),
                                        hello.up() + 9,
                                        hello.work(),
                                        hello.answers(),
                                        hello.settled()),
                                now);
                    }
                });
    }

    @Test
    void oneThatPassesOnWhatItHasBorrowedIsCaught() {
        caught(
                "a proxy tells only",
                new Core() {
                    @Override
                    RecoveryState.Step wake(RecoveryState one, double now) {
                        RecoveryState.Step step = one.wake(now);
                        RecoveryState.Lesson its = one.lesson(now);
                        return its == null || one.answers() > 0
                                ? step
                                : new RecoveryState.Step(
                                        step.next(),
                                        step.sent().stream()
                                                .map(
                                                        each ->
                                                                new RecoveryState.Sent(
                                                                        each.to(),
                                                                        new PeerStatus(
                                                                                one.start(),
                                                                                0,
                                                                                true,
                                                                                each.hello().up(),
                                                                                (float) its.work(),
                                                                                its.answers(),
                                                                                false)))
                                                .toList(),
                                        false);
                    }
                });
    }

    @Test
    void oneThatForgetsNothingIsCaught() {
        caught(
                "no figure",
                new Core() {
                    @Override
                    RecoveryState.Lesson lesson(RecoveryState one, double now) {
                        return one.lesson(one.began());
                    }
                });
    }

    @Test
    void oneThatTakesSilenceForAllNewIsCaught() {
        caught(
                "not heard",
                new Core() {
                    @Override
                    RecoveryState.Step wake(RecoveryState one, double now) {
                        RecoveryState.Step step = one.wake(now);
                        RecoveryState its = step.next();
                        return its.standing() != RecoveryPhase.CUT_OFF
                                ? step
                                : new RecoveryState.Step(
                                        new RecoveryState(
                                                its.pace(),
                                                its.self(),
                                                its.proxies(),
                                                its.start(),
                                                its.began(),
                                                its.work(),
                                                its.answers(),
                                                new TreeMap<>(its.heard()),
                                                RecoveryPhase.ALL_NEW,
                                                its.asked(),
                                                its.askAt()),
                                        step.sent(),
                                        false);
                    }
                });
    }

    @Test
    void oneThatAnswersNobodyIsCaught() {
        caught(
                "one that has none",
                new Core() {
                    @Override
                    RecoveryState.Step heard(
                            RecoveryState one, int from, PeerStatus hello, double now) {
                        RecoveryState.Step step = one.heard(from, hello, now);
                        return new RecoveryState.Step(step.next(), List.of(), step.anew());
                    }
                });
    }
}
