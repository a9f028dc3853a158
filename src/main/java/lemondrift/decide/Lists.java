package lemondrift.decide;

import lemondrift.model.*;

/** Keeps this proxy subscribed to changes of the list where it must ask for them. */
final class Lists {
    private final boolean onRequest;
    private final double patience;
    private final Chance chance;
    double askAt = Double.POSITIVE_INFINITY;

    Lists(Settings s, Chance chance) {
        onRequest = s.listOnRequest();
        patience = s.rules().askWithin() / 4;
        this.chance = chance;
    }

    void listed(boolean stale, double now) {
        askAt = onRequest && stale ? now : Double.POSITIVE_INFINITY;
    }

    /** Danger: all proxies asking again in step keep a list service of fixed capacity down. */
    void failed(double now, Turn turn) {
        if (onRequest) {
            askAt = now + chance.jitter(patience / 2);
            turn.notes.add("list call failed, asking again");
        }
    }

    void wake(double now, Turn turn) {
        if (askAt <= now) {
            turn.listCalls.add(Turn.ListCall.WATCH);
            askAt = now + 2 * patience;
        }
    }
}
