package lemondrift.proxy.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import lemondrift.settings.InvalidSettingsException;

/**
 * Compares the keys that a new configuration states with those of the running one, both as
 * path=value pairs.
 */
final class KeyComparison {
    /** The keys whose values hold from a start on, as a regular expression. */
    private static final String RESTART_KEYS =
            "name|listen|admin_addr|limits\\..*|peer.*"
                + "|settings\\.(localities|zone|membershipMode|weights|realms|report|limits\\.conn).*";

    /** The place in a list of objects that is part of a key. */
    private static final String LIST_INDEX = "\\.\\d+\\.";

    private final Map<String, String> next;
    private final Map<String, String> running;

    KeyComparison(Map<String, String> next, Map<String, String> running) {
        this.next = next;
        this.running = running;
    }

    /**
     * Guards against a file that was cut or left half written, can still be read, and lacks keys
     * whose defaults would then hold.
     *
     * @throws InvalidSettingsException where the running configuration states a key that the new
     *     one does not; of the entries of a list, each must have what all had, but there may be
     *     fewer
     */
    void requireAllKeys() {
        for (String key : running.keySet()) {
            boolean inEveryRunningEntry =
                    IntStream.range(0, entryCount(running, key))
                            .allMatch(index -> running.containsKey(keyAt(key, index)));
            for (int index = 0; inEveryRunningEntry && index < entryCount(next, key); index++) {
                if (!next.containsKey(keyAt(key, index))) {
                    throw new InvalidSettingsException(
                            keyAt(key, index) + ": missing, and the running configuration has it");
                }
            }
        }
    }

    /** The keys whose values differ and hold from the next start on, in alphabetical order. */
    List<String> keysRequiringRestart() {
        return Stream.concat(next.keySet().stream(), running.keySet().stream())
                .distinct()
                .sorted()
                .filter(key -> key.matches(RESTART_KEYS))
                .filter(key -> !Objects.equals(next.get(key), running.get(key)))
                .toList();
    }

    /** How many entries the list has that a key lies in; 1 where it lies in none. */
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
