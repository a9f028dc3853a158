package lemondrift.proxy.client;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The ids of requests that may be executed now: those that are open, and those whose client left
 * while a backend may have executed them, if their effect must not happen twice. Guards against a
 * request that passes as new and is executed a second time. I/O thread only.
 */
final class RequestIds {
    /** Seconds for which an id stays in use after its client has left. */
    static final double ABANDONED_SECONDS = 10;

    /** The maximum number of characters of all ids whose clients have left. */
    private static final int MAX_ABANDONED_CHARACTERS = 64 * 1024;

    private final Set<String> open = new HashSet<>();

    /** Until when each id whose client has left stays in use, the oldest first. */
    private final Map<String, Double> abandonedUntil = new LinkedHashMap<>();

    private int abandonedCharacters;

    /** Returns how many requests are open. */
    int openCount() {
        return open.size();
    }

    /**
     * Takes an id into use.
     *
     * @param now the time in seconds
     * @return false if it is in use already
     */
    boolean open(String id, double now) {
        expire(now);
        return !abandonedUntil.containsKey(id) && open.add(id);
    }

    /** Frees the id of a request that has ended; null is ignored. */
    void close(String id) {
        open.remove(id);
    }

    /**
     * Keeps the id of an open request in use for some time, as its client has left and a backend
     * may have executed it. The oldest ids are freed early if there are too many.
     *
     * @param now the time in seconds
     */
    void abandon(String id, double now) {
        if (open.remove(id)) {
            abandonedUntil.put(id, now + ABANDONED_SECONDS);
            abandonedCharacters += id.length();
            expire(now);
        }
    }

    private void expire(double now) {
        var oldestFirst = abandonedUntil.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Double> oldest = oldestFirst.next();
            if (now < oldest.getValue() && abandonedCharacters <= MAX_ABANDONED_CHARACTERS) {
                return;
            }
            abandonedCharacters -= oldest.getKey().length();
            oldestFirst.remove();
        }
    }
}
