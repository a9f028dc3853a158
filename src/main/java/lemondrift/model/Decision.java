package lemondrift.model;

import java.util.ArrayList;
import java.util.List;

/** What one call to the decisions asks for. The wake time replaces the one asked for before. */
public final class Decision {
    /** A final answer; shed tells the client that a retry is harmless, scrapped promises nothing. */
    public record Answer(Request exchange, boolean shed, double retryAfter) {}

    public enum ListCall { WHOLE, WATCH }

    public final List<Answer> answers = new ArrayList<>();
    public final List<Attempt> sends = new ArrayList<>();
    public final List<Attempt> cancels = new ArrayList<>();
    public final List<Integer> probes = new ArrayList<>();
    public final List<ListCall> listCalls = new ArrayList<>();
    public final List<String> peerTexts = new ArrayList<>();
    public final List<String> notes = new ArrayList<>();
    public double wakeAt = Double.POSITIVE_INFINITY;

    public void clear() {
        answers.clear();
        sends.clear();
        cancels.clear();
        probes.clear();
        listCalls.clear();
        peerTexts.clear();
        notes.clear();
        wakeAt = Double.POSITIVE_INFINITY;
    }
}
