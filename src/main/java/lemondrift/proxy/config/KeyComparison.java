package lemondrift.proxy.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import lemondrift.settings.InvalidSettingsException;

/**
 * Compares the keys of a new configuration with the keys of the running one, both as path=value
 * pairs.
 */
final class KeyComparison {
    /** Regular expression for the keys whose values take effect only at a start. */
    private static final String RESTART_KEYS =
            "name|listen|admin_addr|limits\\..*|peer.*"
                + "|settings\\.(localities|zone|membershipMode|weights|realms|report|limits\\.conn).*";

    /** Regular expression for the index in a list of objects within a key. */
    private static final String LIST_INDEX = "\\.\\d+\\.";

    private final Map<String, String> next;
    private final Map<String, String> running;

    KeyComparison(Map<String, String> next, Map<String, String> running) {
        this.next = next;
        this.running = running;
    }

    /**
     * Requires that the new configuration has all keys of the running one. A list may have fewer
     * entries than before, but each entry must have the keys that all entries had. Guards against a
     * truncated or partly written file that is still readable but lacks keys, whose defaults would
     * then apply.
     *
     * @throws InvalidSettingsException if the new configuration lacks a key
     */
    void requireAllKeys() {
        for (String key : running.keySet()) {
            boolean inEveryRunningEntry =
                    IntStream.range(0, entryCount(running, key))
                            .allMatch(index -> running.containsKey(keyAt(key, index)));
            for (int index = 0; inEveryRunningEntry && index < entryCount(next, key); index++) {
                if (!next.containsKey(keyAt(key, index))) {
                    throw new InvalidSettingsException(
                            keyAt(key, index) + ": missing, but set in the running configuration");
                }
            }
        }
    }

    /**
     * Returns the keys with a changed value that takes effect only at the next start, in
     * alphabetical order.
     */
    List<String> keysRequiringRestart() {
        return Stream.concat(next.keySet().stream(), running.keySet().stream())
                .distinct()
                .sorted()
                .filter(key -> key.matches(RESTART_KEYS))
                .filter(key -> !Objects.equals(next.get(key), running.get(key)))
                .toList();
    }

    /** Returns the number of entries of the list that contains a key, or 1 if no list does. */
    private static int entryCount(Map<String, String> pairs, String key) {
        String[] parts = key.split(LIST_INDEX, 2);
        return parts.length == 1
                ? 1
                : Integer.parseInt(pairs.getOrDefault(parts[0] + ".count", "0"));
    }

    private static String keyAt(String key, int index) {
        return key.replaceFirst(LIST_INDEX, "." + index + ".");
    }
}
