package lemondrift.recovery;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * A proxy's way back after its start: it asks others what they are and what an exchange's work is,
 * until it has found that itself. A value; each event gives another one. Times are in seconds of
 * one clock.
 *
 * @param pace how it asks
 * @param self its number among the proxies
 * @param proxies how many there are
 * @param start its start number
 * @param began when it started
 * @param work mean work of an exchange as own answers show, 0 where there are none
 * @param answers how many these are
 * @param heard the latest word of each other one that has said any
 * @param standing what it is among them; it holds once it goes by what it has found itself
 * @param asked how often it has asked
 * @param askAt when it asks next
 */
public record RecoveryState(
        PeerPollBackoff pace,
        int self,
        int proxies,
        long start,
        double began,
        double work,
        int answers,
        SortedMap<Integer, PeerObservation> heard,
        RecoveryPhase standing,
        int asked,
        double askAt) {
    /**
     * Of those that answer, one in so many may be new and this one still counts as alone in that.
     */
    private static final int FEW = 4;

    /** As how many answers those of one other proxy count at the most. */
    private static final int MOST_OF_ONE = 8;

    /** What goes to another proxy. */
    public record Sent(int to, PeerStatus hello) {}

    /** What comes of an event; whether another proxy was heard to have started anew. */
    public record Step(RecoveryState next, List<Sent> sent, boolean anew) {}

    /** What others have found the work of an exchange to be, from so many answers. */
    public record Lesson(double work, int answers) {}

    public static RecoveryState begins(
            PeerPollBackoff pace, int self, int proxies, long start, double now) {
        return new RecoveryState(
                pace,
                self,
                proxies,
                start,
                now,
                0,
                0,
                Collections.emptySortedMap(),
                RecoveryPhase.UNKNOWN,
                0,
                now);
    }

    private RecoveryState with(
            SortedMap<Integer, PeerObservation> heard,
            RecoveryPhase standing,
            int asked,
            double askAt) {
        return new RecoveryState(
                pace, self, proxies, start, began, work, answers, heard, standing, asked, askAt);
    }

    /** Whether it has found enough to go by that, and asks nobody any more. */
    public boolean isSettled() {
        return answers >= pace.enough();
    }

    /** Its own answers show this mean work of an exchange. */
    public RecoveryState found(double work, int answers) {
        return isSettled()
                ? this
                : new RecoveryState(
                        pace,
                        self,
                        proxies,
                        start,
                        began,
                        work,
                        answers,
                        heard,
                        standing,
                        asked,
                        answers >= pace.enough() ? Double.POSITIVE_INFINITY : askAt);
    }

    /**
     * Another proxy's word has come. Danger: datagrams come late, twice and out of order, also from
     * before one of both has started again; what an earlier self has said, or was meant for one,
     * changes nothing.
     */
    public Step heard(int from, PeerStatus hello, double now) {
        PeerObservation before = heard.get(from);
        boolean known = before != null && now - before.at() <= pace.forget();
        // Danger: a wall clock that went back gives a lower start number; silence makes room for
        // it.
        if (from == self
                || from < 0
                || from >= proxies
                || (hello.to() != 0 && hello.to() != start)
                || (known && before.isAfter(hello))) {
            return new Step(this, List.of(), false);
        }
        SortedMap<Integer, PeerObservation> all = new TreeMap<>(heard);
        all.put(from, new PeerObservation(hello, now));
        boolean anew =
                before == null
                        ? hello.up() <= pace.forget()
                        : before.hello().start() != hello.start();
        RecoveryState next = with(all, standing, asked, askAt).judged(now);
        return new Step(
                next,
                hello.asks()
                        ? List.of(new Sent(from, next.says(hello.start(), false, now)))
                        : List.of(),
                anew);
    }

    /** Asks the next few others where that is due. */
    public Step wake(double now) {
        if (now < askAt || proxies < 2) {
            return new Step(judged(now), List.of(), false);
        }
        List<Sent> sent = new ArrayList<>();
        for (int i = 0; i < Math.min(pace.fanout(), proxies - 1); i++) {
            int to = (self + 1 + (asked * pace.fanout() + i) % (proxies - 1)) % proxies;
            PeerObservation its = heard.get(to);
            boolean known = its != null && now - its.at() <= pace.forget();
            sent.add(new Sent(to, says(known ? its.hello().start() : 0, true, now)));
        }
        double again = Math.min(pace.forget(), pace.ask() * (1 + asked));
        return new Step(with(heard, standing, asked + 1, now + again).judged(now), sent, false);
    }

    /** When to wake it; infinite where it asks nobody any more. */
    public double wakeAt() {
        return isSettled() ? Double.POSITIVE_INFINITY : askAt;
    }

    private PeerStatus says(long to, boolean asks, double now) {
        return new PeerStatus(
                start, to, asks, (float) (now - began), (float) work, answers, isSettled());
    }

    /** What was heard lately enough to count. */
    private Stream<PeerStatus> lately(double now) {
        return heard.values().stream()
                .filter(each -> now - each.at() <= pace.forget())
                .map(PeerObservation::hello);
    }

    /** What it is among the others, by who has answered; it is corrected as long as it asks. */
    private RecoveryState judged(double now) {
        if (isSettled()) {
            return this;
        }
        long all = lately(now).count();
        long settled = lately(now).filter(PeerStatus::settled).count();
        boolean early = now - began < pace.bound() && all < proxies - 1;
        RecoveryPhase its =
                early && settled == 0
                        ? RecoveryPhase.UNKNOWN
                        : all == 0
                                ? RecoveryPhase.CUT_OFF
                                : settled == 0
                                        ? RecoveryPhase.ALL_NEW
                                        : (all - settled) * FEW <= all
                                                ? RecoveryPhase.ALONE
                                                : RecoveryPhase.AMONG_SOME;
        return its == standing ? this : with(heard, its, asked, askAt);
    }

    /**
     * What others have found, of those that have settled where there are any; null where nobody has
     * found anything. Danger: too little would have a cold backend pushed over, so of two the
     * larger counts and of more the upper one in the middle, which no single one moves.
     */
    public Lesson lesson(double now) {
        boolean settled = lately(now).anyMatch(PeerStatus::settled);
        List<PeerStatus> all =
                lately(now)
                        .filter(each -> each.answers() > 0 && (!settled || each.settled()))
                        .sorted((a, b) -> Float.compare(a.work(), b.work()))
                        .toList();
        return all.isEmpty()
                ? null
                : new Lesson(
                        all.get(all.size() / 2).work(),
                        all.stream().mapToInt(each -> Math.min(MOST_OF_ONE, each.answers())).sum());
    }
}
