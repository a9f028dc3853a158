package lemondrift.decide;

import lemondrift.model.*;

/** One link of the chain. An exchange goes outward until a stage ends it; an ending comes back inward. */
abstract class Stage {
    private Stage inner;
    private Stage outer;

    final Stage then(Stage next) {
        outer = next;
        next.inner = this;
        return next;
    }

    /** Passes the exchange on, keeps it, or gives it up; the exchange has nothing out. */
    void offer(Exchange x, double now, Turn turn) {
        outer.offer(x, now, turn);
    }

    /** Whether a backend may take the exchange now, as far as this stage and those before it say. */
    boolean mayTake(Exchange x, int i, double now) {
        return inner == null || inner.mayTake(x, i, now);
    }

    void ended(Forward f, Outcome outcome, double took, double now, Turn turn) {
        inner.ended(f, outcome, took, now, turn);
    }

    /** Ends the exchange with an answer at once; comeBack is when a retry makes sense, 0 where unknown. */
    void giveUp(Exchange x, double comeBack, double now, Turn turn) {
        inner.giveUp(x, comeBack, now, turn);
    }
}
