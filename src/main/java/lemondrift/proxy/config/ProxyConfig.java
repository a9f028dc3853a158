package lemondrift.proxy.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import lemondrift.connection.ConnectionLimits;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import lemondrift.settings.InvalidSettingsException;
import lemondrift.settings.SettingsReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one proxy is told at start: the decisions' settings, the names at its door, and its own
 * addresses; the operators' is null where there is none.
 */
public record ProxyConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        long memoryBytes,
        Settings settings,
        List<String> requestClassNames,
        List<String> tenantNames,
        List<String> locations,
        List<String> loadReportFields,
        double backendIdleSeconds,
        double connectTimeoutSeconds,
        JsonObject initialEndpoints,
        Map<String, String> statedKeys,
        ConnectionLimits connectionLimits,
        GossipSettings gossip,
        RecoverySettings recovery,
        Settings shadow) {
    private static final Logger LOG = LoggerFactory.getLogger(ProxyConfig.class);

    /** What is read once only, as a regular expression over the keys. */
    private static final String AT_A_START =
            "name|listen|admin_addr|limits\\..*|peer.*"
                + "|settings\\.(localities|zone|membershipMode|weights|realms|report|limits\\.conn).*";

    /** A key's place in a list of objects. */
    private static final String PLACE = "\\.\\d+\\.";

    /** Descriptors for what is not a connection: libraries, logs, selectors, the listener. */
    private static final int OTHERS = 40;

    /** How many connections the proxy may hold. */
    public int maxConnections() {
        return maxConnections(sockets);
    }

    /**
     * The share of them that each of so many processes may hold, as each has descriptors of its own
     * too.
     */
    public double connectionShare(int processes) {
        return processes == 1
                ? 1
                : (double) maxConnections(sockets / processes) / maxConnections(sockets);
    }

    private static int maxConnections(int sockets) {
        return Math.max(OTHERS, sockets - OTHERS);
    }

    private ProxyConfig with(
            InetSocketAddress admin,
            ConnectionLimits connectionLimits,
            GossipSettings peers,
            RecoverySettings recovery,
            Settings shadow) {
        return new ProxyConfig(
                name,
                listen,
                admin,
                discovery,
                seed,
                sockets,
                memoryBytes,
                settings,
                requestClassNames,
                tenantNames,
                locations,
                loadReportFields,
                backendIdleSeconds,
                connectTimeoutSeconds,
                initialEndpoints,
                statedKeys,
                connectionLimits,
                peers,
                recovery,
                shadow);
    }

    /** The same without the list of before, which is thousands of lines on a large fleet. */
    public ProxyConfig withoutInitialEndpoints() {
        return new ProxyConfig(
                name,
                listen,
                admin,
                discovery,
                seed,
                sockets,
                memoryBytes,
                settings,
                requestClassNames,
                tenantNames,
                locations,
                loadReportFields,
                backendIdleSeconds,
                connectTimeoutSeconds,
                none(),
                statedKeys,
                connectionLimits,
                gossip,
                recovery,
                shadow);
    }

    /** The same with another door. */
    public ProxyConfig with(ConnectionLimits other) {
        return with(other, gossip, recovery);
    }

    private ProxyConfig with(
            ConnectionLimits connectionLimits, GossipSettings peers, RecoverySettings recovery) {
        return with(admin, connectionLimits, peers, recovery, shadow);
    }

    /** The same with settings that are watched. */
    public ProxyConfig withShadow(Settings other) {
        return with(admin, connectionLimits, gossip, recovery, other);
    }

    /** The same with an operators' address. */
    ProxyConfig withAdminAddress(InetSocketAddress other) {
        return with(other, connectionLimits, gossip, recovery, shadow);
    }

    /**
     * What the files named in an environment say: PROXY_CONFIG, and the others where there are any.
     */
    public static ProxyConfig read(Map<String, String> environment) throws IOException {
        JsonObject json = ConfigFile.read(environment);
        ProxyConfig config = read(json);
        config =
                config.with(
                        connectionLimits(environment, config),
                        gossip(environment, config, json),
                        recovery(environment, config));
        return config.named(environment, json);
    }

    /**
     * The same at a hang-up. Danger: the door's, the peers' and recovery's files hold from a start
     * on, so one that is gone or can't be used by now must not keep the proxy from following the
     * settings; the log tells of it.
     */
    public static ProxyConfig readAgain(Map<String, String> environment, ProxyConfig running)
            throws IOException {
        JsonObject json = ConfigFile.readWithoutKnown(environment);
        ProxyConfig config =
                read(json)
                        .with(running.connectionLimits, running.gossip, running.recovery)
                        .named(environment, json);
        try {
            connectionLimits(environment, config);
            gossip(environment, config, json);
            recovery(environment, config);
        } catch (IOException | RuntimeException e) {
            LOG.warn("would keep the next start from serving: {}", e.toString().replace('\n', ' '));
        }
        return config;
    }

    private static ConnectionLimits connectionLimits(
            Map<String, String> environment, ProxyConfig config) throws IOException {
        String file = environment.get("PROXY_DOOR");
        return file == null
                ? config.connectionLimits
                : ConnectionSettingsFile.read(Path.of(file), config.connectionLimits);
    }

    private static GossipSettings gossip(
            Map<String, String> environment, ProxyConfig config, JsonObject json)
            throws IOException {
        String file = environment.get("PROXY_PEERS");
        return file == null ? null : GossipSettingsFile.read(Path.of(file), config.settings, json);
    }

    /** Null where it is not named, or named by nothing. */
    private static RecoverySettings recovery(Map<String, String> environment, ProxyConfig config)
            throws IOException {
        String file = environment.get("PROXY_RECOVERY");
        return file == null || file.isEmpty()
                ? null
                : RecoverySettingsFile.read(Path.of(file), config.settings.windowSeconds());
    }

    /** With what else the environment names: the operators' address and what is watched. */
    private ProxyConfig named(Map<String, String> environment, JsonObject json) throws IOException {
        String other = environment.get("PROXY_ADMIN_ADDR");
        String shadow = environment.get("PROXY_SHADOW");
        ProxyConfig config =
                other == null ? this : withAdminAddress(address("PROXY_ADMIN_ADDR", other));
        return shadow == null
                ? config
                : config.withShadow(ShadowSettingsFile.read(Path.of(shadow), json));
    }

    public static ProxyConfig read(String json) {
        return read(ConfigFile.object(json));
    }

    private static ProxyConfig read(JsonObject json) {
        try {
            return readParts(json);
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException e) {
            throw ConfigFile.unusable(e);
        }
    }

    private static ProxyConfig readParts(JsonObject json) {
        Map<String, String> pairs = new HashMap<>();
        // Danger: a list of thousands is no setting, and would take longer than all else of a
        // start.
        JsonObject stated = new JsonObject();
        json.entrySet().stream()
                .filter(each -> !each.getKey().equals("known"))
                .forEach(each -> stated.add(each.getKey(), each.getValue()));
        flatten("", stated, pairs);
        SettingsReader all = new SettingsReader(pairs);
        Map<String, String> inner = new HashMap<>();
        flatten("", json.has("settings") ? json.get("settings") : new JsonObject(), inner);
        SettingsReader reader = new SettingsReader(inner);
        int sockets = (int) all.number("limits.sockets", 1024);
        Settings settings = reader.settings();
        return new ProxyConfig(
                all.text("name", "proxy"),
                address("listen", all.text("listen", null)),
                json.has("admin_addr") ? address("admin_addr", all.text("admin_addr", null)) : null,
                address("discovery", all.text("discovery", null)),
                seed(all.text("seed", "0")),
                sockets,
                (long) (all.number("limits.memory_mb", 192) * (1 << 20)),
                settings,
                requestClassNames(inner),
                names(inner, "realms"),
                reader.list("localities"),
                reader.list("report.names"),
                reader.number("limits.connIdle", 10_000) / 1000,
                reader.number("limits.connectTimeout", 250) / 1000,
                initialEndpoints(json),
                pairs,
                ConnectionSettingsFile.usual(maxConnections(sockets), settings),
                null,
                null,
                null);
    }

    /**
     * Danger: where lists come on request, a proxy that is told of none would never ask for one.
     */
    private static JsonObject initialEndpoints(JsonObject json) {
        return json.has("known") ? json.getAsJsonObject("known") : none();
    }

    private static JsonObject none() {
        JsonObject none = new JsonObject();
        none.addProperty("complete", true);
        none.add("members", new JsonArray());
        return none;
    }

    public double longestTimeoutSeconds() {
        return settings.activeClasses().mapToDouble(RequestClass::timeoutSeconds).max().orElse(1);
    }

    /**
     * Danger: a file that was cut or left half written may still be one that can be read, and what
     * it lacks would fall back to what holds where nothing is said.
     */
    public void requireAllOf(ProxyConfig running) {
        for (String key : running.statedKeys.keySet()) {
            // Of a list's entries each has to have what all had; there may be fewer of them.
            boolean all =
                    IntStream.range(0, running.count(key))
                            .allMatch(i -> running.statedKeys.containsKey(at(key, i)));
            for (int i = 0; all && i < count(key); i++) {
                if (!statedKeys.containsKey(at(key, i))) {
                    throw new InvalidSettingsException(
                            at(key, i) + ": missing, and the running configuration has it");
                }
            }
        }
    }

    /** How many entries the list has that a key lies in; 1 where it lies in none. */
    private int count(String key) {
        String[] parts = key.split(PLACE, 2);
        return parts.length == 1
                ? 1
                : Integer.parseInt(statedKeys.getOrDefault(parts[0] + ".count", "0"));
    }

    private static String at(String key, int place) {
        return key.replaceFirst(PLACE, "." + place + ".");
    }

    /**
     * The keys that differ from the running configuration's, and hold only from the next start on.
     */
    public List<String> keysAppliedAtStart(ProxyConfig running) {
        return Stream.concat(statedKeys.keySet().stream(), running.statedKeys.keySet().stream())
                .distinct()
                .sorted()
                .filter(key -> key.matches(AT_A_START))
                .filter(key -> !Objects.equals(statedKeys.get(key), running.statedKeys.get(key)))
                .toList();
    }

    private static List<String> requestClassNames(Map<String, String> pairs) {
        List<String> names = names(pairs, "serviceGrades");
        for (int i = 0; i < names.size(); i++) {
            String key = "setting serviceGrades." + i + ".name: ";
            if (names.get(i) == null || names.get(i).isEmpty()) {
                throw new InvalidSettingsException(key + "missing");
            }
            // Danger: of two classes of one name it is not known which one a request means.
            if (names.indexOf(names.get(i)) < i) {
                throw new InvalidSettingsException(key + names.get(i) + " is there twice");
            }
        }
        return names;
    }

    private static List<String> names(Map<String, String> pairs, String list) {
        int count = Integer.parseInt(pairs.getOrDefault(list + ".count", "0"));
        return IntStream.range(0, count)
                .mapToObj(i -> pairs.get(list + "." + i + ".name"))
                .toList();
    }

    /** The path=value pairs of nested JSON; a list of objects has its length under .count. */
    static void flatten(String at, JsonElement value, Map<String, String> pairs) {
        String below = at.isEmpty() ? "" : at + ".";
        if (value instanceof JsonObject object) {
            object.entrySet().forEach(e -> flatten(below + e.getKey(), e.getValue(), pairs));
        } else if (value instanceof JsonArray array
                && !array.isEmpty()
                && array.get(0).isJsonObject()) {
            pairs.put(below + "count", String.valueOf(array.size()));
            for (int i = 0; i < array.size(); i++) {
                flatten(below + i, array.get(i), pairs);
            }
        } else if (value instanceof JsonArray array) {
            pairs.put(
                    at,
                    String.join(
                            ",", array.asList().stream().map(JsonElement::getAsString).toList()));
        } else if (value.isJsonPrimitive()) {
            pairs.put(at, value.getAsString());
        }
    }

    public static InetSocketAddress address(String what, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(text.substring(0, colon), port);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new InvalidSettingsException(what + ": not host:port: " + text);
        }
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("seed: not a hexadecimal number: " + hex);
        }
    }
}
