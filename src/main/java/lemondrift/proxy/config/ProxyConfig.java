package lemondrift.proxy.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import lemondrift.connection.ConnectionLimits;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import lemondrift.settings.InvalidSettingsException;

/**
 * The configuration of one process; immutable.
 *
 * @param name of the proxy, in logs and for its takeover
 * @param listen where clients connect
 * @param admin the operators' address; null where there is none
 * @param discovery where the endpoint list is served
 * @param seed of all random draws
 * @param sockets descriptors that the process may open
 * @param memoryBytes memory that the process may use
 * @param settings what the decisions go by
 * @param requestClassNames in the order of the settings' request classes
 * @param tenantNames in the order of the settings' quotas
 * @param locations the names of the locations, by index
 * @param loadReportFields the names of the fields of a load report, in the order of its values
 * @param backendIdleSeconds after which a backend closes an idle connection
 * @param connectTimeoutSeconds how long connecting to a backend may take
 * @param initialEndpoints the endpoint list known from before, as discovery would send it
 * @param valuesByKey all keys that the configuration states but the initial endpoints, and values
 * @param connectionLimits what clients' connections may use
 * @param gossip load gossip with other proxies; null where there is none
 * @param recovery how the proxy recovers after its start; null where it does not
 * @param shadow settings that are evaluated but not acted on; null where there are none
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
        Map<String, String> valuesByKey,
        ConnectionLimits connectionLimits,
        GossipSettings gossip,
        RecoverySettings recovery,
        Settings shadow) {
    /** Descriptors for what is not a connection: libraries, logs, selectors, the listener. */
    private static final int RESERVED_SOCKETS = 40;

    /**
     * Reads all files that an environment names: PROXY_CONFIG, and the others where they are set.
     *
     * @throws InvalidSettingsException where something cannot be used; one line with the key
     */
    public static ProxyConfig read(Map<String, String> environment) throws IOException {
        return ProxyConfigReader.read(environment);
    }

    /**
     * Reads the files again at SIGHUP; what holds from a start on stays as it runs.
     *
     * @throws InvalidSettingsException where something cannot be used; one line with the key
     */
    public static ProxyConfig readAgain(Map<String, String> environment, ProxyConfig running)
            throws IOException {
        return ProxyConfigReader.readAgain(environment, running);
    }

    /**
     * Reads the configuration alone, from its text.
     *
     * @throws InvalidSettingsException where something cannot be used; one line with the key
     */
    public static ProxyConfig read(String json) {
        return ProxyConfigReader.read(json);
    }

    /**
     * The address that a text of host and port is.
     *
     * @param key names it in the error
     * @throws InvalidSettingsException where it is none
     */
    public static InetSocketAddress parseAddress(String key, String text) {
        return ProxyConfigReader.parseAddress(key, text);
    }

    /** How many connections the proxy may hold, of clients and to backends. */
    public int maxConnections() {
        return maxConnections(sockets);
    }

    /**
     * The share of the connections, 0 to 1, that each of so many processes may hold; as each has
     * descriptors of its own, it is less than an equal part.
     */
    public double connectionShare(int processCount) {
        return processCount == 1
                ? 1
                : (double) maxConnections(sockets / processCount) / maxConnections(sockets);
    }

    static int maxConnections(int sockets) {
        return Math.max(RESERVED_SOCKETS, sockets - RESERVED_SOCKETS);
    }

    /** The longest time that a request of any class may have, in seconds; 1 without classes. */
    public double longestTimeoutSeconds() {
        return settings.activeClasses().mapToDouble(RequestClass::timeoutSeconds).max().orElse(1);
    }

    /**
     * Refuses a configuration that lacks keys which the running one states, as a file that was cut
     * off may.
     *
     * @throws InvalidSettingsException where one is missing
     */
    public void requireAllKeysOf(ProxyConfig running) {
        new KeyComparison(valuesByKey, running.valuesByKey).requireAllKeys();
    }

    /** The keys that differ from the running configuration's and hold from the next start on. */
    public List<String> keysRequiringRestart(ProxyConfig running) {
        return new KeyComparison(valuesByKey, running.valuesByKey).keysRequiringRestart();
    }

    /** A copy that does not keep the initial endpoints, which are thousands on a large fleet. */
    public ProxyConfig withoutInitialEndpoints() {
        return copy(admin, emptyEndpointList(), connectionLimits, gossip, recovery, shadow);
    }

    /** A copy with other limits of clients' connections. */
    public ProxyConfig withConnectionLimits(ConnectionLimits otherLimits) {
        return copy(admin, initialEndpoints, otherLimits, gossip, recovery, shadow);
    }

    /** A copy with settings that are evaluated in shadow. */
    public ProxyConfig withShadow(Settings otherShadow) {
        return copy(admin, initialEndpoints, connectionLimits, gossip, recovery, otherShadow);
    }

    /** A copy with an operators' address. */
    ProxyConfig withAdminAddress(InetSocketAddress address) {
        return copy(address, initialEndpoints, connectionLimits, gossip, recovery, shadow);
    }

    /** A copy with what the settings files say. */
    ProxyConfig withFiles(
            ConnectionLimits otherLimits,
            GossipSettings otherGossip,
            RecoverySettings otherRecovery) {
        return copy(admin, initialEndpoints, otherLimits, otherGossip, otherRecovery, shadow);
    }

    private ProxyConfig copy(
            InetSocketAddress otherAdmin,
            JsonObject otherEndpoints,
            ConnectionLimits otherLimits,
            GossipSettings otherGossip,
            RecoverySettings otherRecovery,
            Settings otherShadow) {
        return new ProxyConfig(
                name,
                listen,
                otherAdmin,
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
                otherEndpoints,
                valuesByKey,
                otherLimits,
                otherGossip,
                otherRecovery,
                otherShadow);
    }

    /** A complete endpoint list that names none. */
    static JsonObject emptyEndpointList() {
        JsonObject list = new JsonObject();
        list.addProperty("complete", true);
        list.add("members", new JsonArray());
        return list;
    }
}
