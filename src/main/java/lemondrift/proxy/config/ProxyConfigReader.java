package lemondrift.proxy.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import lemondrift.connection.ConnectionLimits;
import lemondrift.model.Settings;
import lemondrift.settings.InvalidSettingsException;
import lemondrift.settings.SettingsReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads a {@link ProxyConfig} from the files that environment variables name. Invalid input causes
 * an {@link InvalidSettingsException} whose message is one line with the key, and with the file
 * unless it is the configuration file.
 */
final class ProxyConfigReader {
    private static final Logger LOG = LoggerFactory.getLogger(ProxyConfigReader.class);

    /** Environment variable with the settings file for client connections. */
    private static final String CONNECTION_FILE = "PROXY_DOOR";

    /** Environment variable with the settings file for load gossip. */
    private static final String GOSSIP_FILE = "PROXY_PEERS";

    /** Environment variable with the settings file for recovery; unset or empty for none. */
    private static final String RECOVERY_FILE = "PROXY_RECOVERY";

    /** Environment variable with the file of the settings to evaluate in shadow. */
    private static final String SHADOW_FILE = "PROXY_SHADOW";

    /** Environment variable with the admin address. Overrides that of the configuration. */
    private static final String ADMIN_ADDRESS = "PROXY_ADMIN_ADDR";

    /** Default number of descriptors that the process may open. */
    private static final int DEFAULT_SOCKETS = 1024;

    /** Default memory of the process, in MiB. */
    private static final int DEFAULT_MEMORY_MIB = 192;

    /** Default idle time after which a backend closes a connection, in milliseconds. */
    private static final double DEFAULT_BACKEND_IDLE_MILLIS = 10_000;

    /** Default maximum time to connect to a backend, in milliseconds. */
    private static final double DEFAULT_CONNECT_TIMEOUT_MILLIS = 250;

    private ProxyConfigReader() {}

    /** Reads all files that environment variables name. */
    static ProxyConfig read(Map<String, String> environment) throws IOException {
        JsonObject json = ConfigFile.read(environment);
        ProxyConfig config = read(json);
        config =
                config.withFiles(
                        readConnectionLimits(environment, config),
                        readGossip(environment, config, json),
                        readRecovery(environment, config));
        return withAdminAndShadow(config, environment, json);
    }

    /**
     * Reads the files again at SIGHUP. Keeps the running limits of client connections, gossip and
     * recovery, which change only at a start. Their files are only checked, and an error is logged:
     * a file that was removed since the start must not prevent the reload of the settings.
     */
    static ProxyConfig readAgain(Map<String, String> environment, ProxyConfig running)
            throws IOException {
        JsonObject json = ConfigFile.readWithoutInitialEndpoints(environment);
        ProxyConfig config =
                withAdminAndShadow(
                        read(json)
                                .withFiles(
                                        running.connectionLimits(),
                                        running.gossip(),
                                        running.recovery()),
                        environment,
                        json);
        try {
            readConnectionLimits(environment, config);
            readGossip(environment, config, json);
            readRecovery(environment, config);
        } catch (IOException | RuntimeException e) {
            // Catches every exception: any error of the readers would also fail the next start.
            LOG.warn("would keep the next start from serving: {}", e.toString().replace('\n', ' '));
        }
        return config;
    }

    private static ConnectionLimits readConnectionLimits(
            Map<String, String> environment, ProxyConfig config) throws IOException {
        String file = environment.get(CONNECTION_FILE);
        return file == null
                ? config.connectionLimits()
                : ConnectionSettingsFile.read(Path.of(file), config.connectionLimits());
    }

    private static GossipSettings readGossip(
            Map<String, String> environment, ProxyConfig config, JsonObject json)
            throws IOException {
        String file = environment.get(GOSSIP_FILE);
        return file == null
                ? null
                : GossipSettingsFile.read(Path.of(file), config.settings(), json);
    }

    private static RecoverySettings readRecovery(
            Map<String, String> environment, ProxyConfig config) throws IOException {
        String file = environment.get(RECOVERY_FILE);
        return file == null || file.isEmpty()
                ? null
                : RecoverySettingsFile.read(Path.of(file), config.settings().windowSeconds());
    }

    private static ProxyConfig withAdminAndShadow(
            ProxyConfig config, Map<String, String> environment, JsonObject json)
            throws IOException {
        String admin = environment.get(ADMIN_ADDRESS);
        String shadowFile = environment.get(SHADOW_FILE);
        ProxyConfig withAdmin =
                admin == null
                        ? config
                        : config.withAdminAddress(parseAddress(ADMIN_ADDRESS, admin));
        return shadowFile == null
                ? withAdmin
                : withAdmin.withShadow(ShadowSettingsFile.read(Path.of(shadowFile), json));
    }

    /** Reads a configuration from its text, without any settings files. */
    static ProxyConfig read(String json) {
        return read(ConfigFile.parseObject(json));
    }

    private static ProxyConfig read(JsonObject json) {
        try {
            return readParts(json);
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException e) {
            throw ConfigFile.notAnObject(e);
        }
    }

    private static ProxyConfig readParts(JsonObject json) {
        Map<String, String> pairs = pairsWithoutEndpoints(json);
        SettingsReader config = new SettingsReader(pairs);
        Map<String, String> settingsPairs = new HashMap<>();
        JsonPairs.flatten(
                "", json.has("settings") ? json.get("settings") : new JsonObject(), settingsPairs);
        SettingsReader settingsReader = new SettingsReader(settingsPairs);
        int sockets = (int) config.number("limits.sockets", DEFAULT_SOCKETS);
        Settings settings = settingsReader.toSettings();
        return new ProxyConfig(
                config.text("name", "proxy"),
                parseAddress("listen", config.text("listen", null)),
                json.has("admin_addr")
                        ? parseAddress("admin_addr", config.text("admin_addr", null))
                        : null,
                parseAddress("discovery", config.text("discovery", null)),
                parseSeed(config.text("seed", "0")),
                sockets,
                (long) (config.number("limits.memory_mb", DEFAULT_MEMORY_MIB) * (1 << 20)),
                settings,
                requestClassNames(settingsPairs),
                names(settingsPairs, "realms"),
                settingsReader.list("localities"),
                settingsReader.list("report.names"),
                settingsReader.number("limits.connIdle", DEFAULT_BACKEND_IDLE_MILLIS) / 1000,
                settingsReader.number("limits.connectTimeout", DEFAULT_CONNECT_TIMEOUT_MILLIS)
                        / 1000,
                initialEndpoints(json),
                pairs,
                ConnectionSettingsFile.defaults(ProxyConfig.maxConnections(sockets), settings),
                null,
                null,
                null);
    }

    /**
     * Flattens the configuration without the initial endpoints. Flattening thousands of endpoints
     * would take longer than the rest of the start.
     */
    private static Map<String, String> pairsWithoutEndpoints(JsonObject json) {
        Map<String, String> pairs = new HashMap<>();
        for (Map.Entry<String, JsonElement> entry : json.entrySet()) {
            if (!entry.getKey().equals(ConfigFile.INITIAL_ENDPOINTS)) {
                JsonPairs.flatten(entry.getKey(), entry.getValue(), pairs);
            }
        }
        return pairs;
    }

    /**
     * Returns the initial endpoints, or a complete empty list if there are none. Guards against a
     * proxy that polls for its list but would never start to poll without a first list.
     */
    private static JsonObject initialEndpoints(JsonObject json) {
        return json.has(ConfigFile.INITIAL_ENDPOINTS)
                ? json.getAsJsonObject(ConfigFile.INITIAL_ENDPOINTS)
                : ProxyConfig.emptyEndpointList();
    }

    private static List<String> requestClassNames(Map<String, String> settingsPairs) {
        List<String> names = names(settingsPairs, "serviceGrades");
        for (int index = 0; index < names.size(); index++) {
            String name = names.get(index);
            String prefix = "setting serviceGrades." + index + ".name: ";
            if (name == null || name.isEmpty()) {
                throw new InvalidSettingsException(prefix + "missing");
            }
            // Guards against two classes with the same name: a request could mean either.
            if (names.indexOf(name) < index) {
                throw new InvalidSettingsException(prefix + name + " is there twice");
            }
        }
        return names;
    }

    private static List<String> names(Map<String, String> settingsPairs, String list) {
        int count = Integer.parseInt(settingsPairs.getOrDefault(list + ".count", "0"));
        return IntStream.range(0, count)
                .mapToObj(index -> settingsPairs.get(list + "." + index + ".name"))
                .toList();
    }

    /** Parses a host:port address. The key names it in the error message. */
    static InetSocketAddress parseAddress(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(text.substring(0, colon), port);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new InvalidSettingsException(key + ": not host:port: " + text);
        }
    }

    private static long parseSeed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("seed: not a hexadecimal number: " + hex);
        }
    }
}
