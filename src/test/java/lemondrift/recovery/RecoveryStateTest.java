package lemondrift.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RecoveryStateTest {
    private static final PeerPollBackoff PACE = new PeerPollBackoff(1, 5, 20, 2, 3);

    private static PeerStatus of(long start, float up, float work, int answers, boolean settled) {
        return new PeerStatus(start, 0, false, up, work, answers, settled);
    }

    private static RecoveryState fresh(int proxies) {
        return RecoveryState.begins(PACE, 0, proxies, 100, 0);
    }

    private static RecoveryState hears(RecoveryState one, double now, PeerStatus... said) {
        for (int i = 0; i < said.length; i++) {
            one = one.heard(i + 1, said[i], now).next();
        }
        return one;
    }

    @Test
    void aDatagramThatIsCutForeignOfAnotherVersionOrAbsurdIsNone() {
        byte[] good = new PeerStatus(7, 9, true, 1.5f, 0.25f, 300, false).encoded();
        assertEquals(new PeerStatus(7, 9, true, 1.5f, 0.25f, 255, false), PeerStatus.of(good));
        IntStream.range(0, good.length)
                .forEach(i -> assertNull(PeerStatus.of(Arrays.copyOf(good, i))));
        assertNull(PeerStatus.of(Arrays.copyOf(good, good.length + 1)));
        for (int[] change : new int[][] {{0, 2}, {1, 2}, {4, -1}, {20, 0xff}, {24, 0xff}}) {
            byte[] bad = good.clone();
            bad[change[0]] = (byte) change[1];
            assertNull(PeerStatus.of(bad), "byte " + change[0]);
        }
        assertNull(PeerStatus.of(of(1, 1, 0, 5, false).encoded()), "answers that took no work");
    }

    @Property(tries = 300, seed = "48")
    void noBytesAtAllAreMoreThanNoWord(@ForAll @Size(28) byte[] any) {
        any[0] = PeerStatus.KIND;
        any[1] = PeerStatus.VERSION;
        PeerStatus its = PeerStatus.of(any);
        assertTrue(its == null || (its.up() >= 0 && its.work() >= 0 && its.start() > 0));
    }

    @Test
    void whoAnswersSaysWhatOneIsAmongThem() {
        assertEquals(RecoveryPhase.UNKNOWN, fresh(4).wake(1).next().standing());
        assertEquals(RecoveryPhase.CUT_OFF, fresh(4).wake(5).next().standing(), "nobody answers");
        PeerStatus warm = of(50, 99, 0.2f, 40, true);
        PeerStatus newOne = of(101, 1, 0, 0, false);
        assertEquals(RecoveryPhase.ALONE, hears(fresh(9), 1, warm).standing(), "at once");
        assertEquals(
                RecoveryPhase.UNKNOWN, hears(fresh(4), 1, newOne).standing(), "others may be warm");
        assertEquals(
                RecoveryPhase.ALL_NEW,
                hears(fresh(4), 1, newOne, newOne, newOne).standing(),
                "at once");
        assertEquals(RecoveryPhase.AMONG_SOME, hears(fresh(4), 1, newOne, warm, newOne).standing());
        RecoveryState late = hears(fresh(9), 1, newOne).wake(5).next();
        assertEquals(RecoveryPhase.ALL_NEW, late.standing());
        PeerStatus settled = of(101, 6, 0.2f, 3, true);
        assertEquals(
                RecoveryPhase.ALONE,
                hears(late, 6, settled, warm).standing(),
                "corrected by later answers");
        assertEquals(
                RecoveryPhase.CUT_OFF,
                hears(fresh(9), 1, warm).wake(22).next().standing(),
                "forgotten");
    }

    @Test
    void oneThatKnowsForItselfAsksNobodyAndKeepsItsStanding() {
        RecoveryState one = hears(fresh(4), 1, of(50, 99, 0.2f, 40, true)).found(0.3, 3);
        assertTrue(one.isSettled());
        assertEquals(Double.POSITIVE_INFINITY, one.wakeAt());
        assertEquals(List.of(), one.wake(40).sent());
        assertEquals(RecoveryPhase.ALONE, one.wake(40).next().standing());
        RecoveryState.Step asked =
                one.heard(2, new PeerStatus(300, 100, true, 0.1f, 0, 0, false), 50);
        assertEquals(
                List.of(
                        new RecoveryState.Sent(
                                2, new PeerStatus(100, 300, false, 50, 0.3f, 3, true))),
                asked.sent());
    }

    @Test
    void whatAFormerSelfHasSaidOrWasMeantForChangesNothing() {
        RecoveryState one = hears(fresh(4), 1, of(200, 3, 0.2f, 4, false));
        assertSame(
                one, one.heard(1, of(199, 9, 0.9f, 9, true), 2).next(), "its sender's former self");
        assertSame(one, one.heard(1, of(200, 2, 0.9f, 9, true), 2).next(), "out of order");
        assertSame(
                one,
                one.heard(2, new PeerStatus(300, 99, true, 1, 0.9f, 9, true), 2).next(),
                "its own");
        assertSame(one, one.heard(0, of(300, 1, 0.9f, 9, true), 2).next(), "itself");
        assertSame(one, one.heard(4, of(300, 1, 0.9f, 9, true), 2).next(), "nobody");
        assertSame(one, one.heard(-1, of(300, 1, 0.9f, 9, true), 2).next(), "nobody");
        assertTrue(one.heard(1, of(201, 0, 0, 0, false), 2).anew(), "a new self is");
        assertFalse(one.heard(1, of(200, 4, 0.2f, 5, false), 2).anew());
    }

    /**
     * Danger: a proxy whose wall clock went back an hour with the power would never be heard again.
     */
    @Test
    void aLowerStartNumberIsHeardOnceTheHigherOneHasBeenSilent() {
        RecoveryState one = hears(fresh(4), 1, of(200, 3, 0.2f, 4, true));
        PeerStatus back = of(150, 1, 0, 0, false);
        assertSame(one, one.heard(1, back, 15).next());
        assertEquals(back, one.heard(1, back, 22).next().heard().get(1).hello());
    }

    @Test
    void newOnesTeachOnlyWhatTheyHaveFoundThemselves() {
        RecoveryState a = fresh(2);
        RecoveryState b = RecoveryState.begins(PACE, 1, 2, 101, 0);
        for (double now = 0; now < 15; now++) {
            RecoveryState.Step ask = a.wake(now);
            a = ask.next();
            for (RecoveryState.Sent each : ask.sent()) {
                RecoveryState.Step answer = b.heard(0, each.hello(), now);
                b = answer.next();
                a = a.heard(1, answer.sent().get(0).hello(), now).next();
            }
            assertNull(a.lesson(now), "two that know nothing");
        }
        RecoveryState taught = hears(a, 15, of(101, 15, 0.4f, 2, false));
        assertEquals(new RecoveryState.Lesson(0.4f, 2), taught.lesson(15));
        assertTrue(
                taught.wake(taught.wakeAt()).sent().stream()
                        .allMatch(each -> each.hello().answers() == 0),
                "what is borrowed is not passed on");
        assertNull(taught.lesson(36), "past its age");
    }

    @Test
    void noSingleOneOfSeveralMovesTheLesson() {
        PeerStatus[] all = {
            of(1, 9, 0.2f, 40, true),
            of(1, 9, 0.3f, 3, true),
            of(1, 9, 1e-9f, 255, true),
            of(1, 9, 0.0001f, 8, false)
        };
        assertEquals(new RecoveryState.Lesson(0.2f, 19), hears(fresh(9), 1, all).lesson(1));
        assertEquals(
                new RecoveryState.Lesson(0.3f, 11), hears(fresh(9), 1, all[0], all[1]).lesson(1));
    }

    @Property(tries = 100, seed = "48")
    void eachRoundAsksOthersInTurn(
            @ForAll @IntRange(min = 2, max = 40) int proxies,
            @ForAll @IntRange(min = 0, max = 39) int self) {
        RecoveryState one =
                RecoveryState.begins(
                        new PeerPollBackoff(1, 5, 20, 3, 8), self % proxies, proxies, 1, 0);
        boolean[] asked = new boolean[proxies];
        for (int round = 0; round < proxies; round++) {
            RecoveryState.Step step = one.wake(one.wakeAt());
            assertEquals(
                    Math.min(3, proxies - 1),
                    step.sent().stream().map(RecoveryState.Sent::to).distinct().count());
            step.sent().forEach(each -> asked[each.to()] = true);
            one = step.next();
        }
        for (int p = 0; p < proxies; p++) {
            assertEquals(p != self % proxies, asked[p], "number " + p);
        }
    }

    @Test
    void ofASnapshotIsBelievedWhatItsAgeAndMachineAllow() {
        Snapshot its = new Snapshot("n1", "boot-1", 77, 1000, 0.2, 40);
        assertEquals(40, its.trusted("n1", "boot-1", 1010).answers());
        assertEquals(
                1, its.trusted("n1", "boot-2", 1010).answers(), "the machine has lost power too");
        assertEquals(1, its.trusted("n1", "boot-1", 1000 + 25 * 3600).answers(), "over a day old");
        assertEquals(
                1,
                its.trusted("n1", "boot-1", 1000 - 3600).answers(),
                "the clock went back an hour");
        assertEquals(
                77,
                its.trusted("n1", "boot-1", -5).above(),
                "no clock takes the start number back");
        assertEquals(0, its.trusted("n2", "boot-1", 1010).above(), "copied from another proxy");
        assertEquals(0, its.trusted("n2", "boot-1", 1010).work());
        assertThrows(IllegalArgumentException.class, () -> new Snapshot("n", "b", 1, 1, -1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Snapshot("n", "b", 1, 1, 0, 1));
    }
}
