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
 * The configuration of one process. Immutable.
 *
 * @param name the name of the proxy, used in logs and for the takeover
 * @param listen the address at which clients connect
 * @param admin the admin address; null if there is none
 * @param discovery the address that serves the endpoint list
 * @param seed the seed of all random numbers
 * @param maxDescriptors the number of descriptors that the process may open
 * @param memoryBytes the memory that the process may use, in bytes
 * @param settings the settings of the decisions
 * @param requestClassNames the names of the request classes, in the order of the settings' classes
 * @param tenantNames the names of the tenants, in the order of the settings' quotas
 * @param locations the names of the locations, by index
 * @param loadReportFields the names of the fields of a load report, in the order of its values
 * @param backendIdleSeconds the idle time after which a backend closes a connection, in seconds
 * @param connectTimeoutSeconds the maximum time to connect to a backend, in seconds
 * @param initialEndpoints the endpoint list known before the start, as discovery would send it
 * @param valuesByKey all keys that the configuration sets, except the initial endpoints, with their
 *     values
 * @param connectionLimits the limits of client connections
 * @param gossip the settings of load gossip with other proxies; null if there is none
 * @param recovery the settings of the recovery after a start; null if there is none
 * @param shadowSettings the settings that are evaluated in shadow but not applied; null if there
 *     are none
 */
public record ProxyConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        int maxDescriptors,
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
        Settings shadowSettings) {
    /** Descriptors reserved for libraries, logs, selectors and the listener. */
    private static final int RESERVED_SOCKETS = 40;

    /**
     * Reads all files that environment variables name: PROXY_CONFIG and, if set, the others.
     *
     * @throws IOException if a file cannot be read
     * @throws InvalidSettingsException if a file is invalid; the message is one line with the key
     */
    public static ProxyConfig read(Map<String, String> environment) throws IOException {
        return ProxyConfigReader.read(environment);
    }

    /**
     * Reads the files again at SIGHUP. Keeps the running limits of client connections, gossip and
     * recovery, which change only at a start.
     *
     * @throws IOException if a file cannot be read
     * @throws InvalidSettingsException if a file is invalid; the message is one line with the key
     */
    public static ProxyConfig readAgain(Map<String, String> environment, ProxyConfig running)
            throws IOException {
        return ProxyConfigReader.readAgain(environment, running);
    }

    /**
     * Reads a configuration from its text, without any settings files.
     *
     * @throws InvalidSettingsException if the text is invalid; the message is one line with the key
     */
    public static ProxyConfig read(String json) {
        return ProxyConfigReader.read(json);
    }

    /**
     * Parses an address.
     *
     * @param key the key of the address, for the error message
     * @param text the address as host:port
     * @throws InvalidSettingsException if the text is not an address
     */
    public static InetSocketAddress parseAddress(String key, String text) {
        return ProxyConfigReader.parseAddress(key, text);
    }

    /** Returns how many connections the proxy may hold, from clients and to backends together. */
    public int maxConnections() {
        return maxConnections(maxDescriptors);
    }

    /**
     * Returns the share of the connections, 0 to 1, that each of a number of processes may hold. It
     * is less than an equal part because each process needs its own reserved descriptors.
     */
    public double connectionShare(int processCount) {
        return processCount == 1
                ? 1
                : (double) maxConnections(maxDescriptors / processCount)
                        / maxConnections(maxDescriptors);
    }

    static int maxConnections(int sockets) {
        return Math.max(RESERVED_SOCKETS, sockets - RESERVED_SOCKETS);
    }

    /** Returns the longest timeout of any active request class, in seconds; 1 if there is none. */
    public double longestTimeoutSeconds() {
        return settings.activeClasses().mapToDouble(RequestClass::timeoutSeconds).max().orElse(1);
    }

    /**
     * Rejects a configuration that lacks a key of the running one, as a truncated file may.
     *
     * @throws InvalidSettingsException if a key is missing
     */
    public void requireAllKeysOf(ProxyConfig running) {
        new KeyComparison(valuesByKey, running.valuesByKey).requireAllKeys();
    }

    /**
     * Returns the keys that differ from the running configuration and take effect only at the next
     * start.
     */
    public List<String> keysRequiringRestart(ProxyConfig running) {
        return new KeyComparison(valuesByKey, running.valuesByKey).keysRequiringRestart();
    }

    /** Returns a copy without the initial endpoints, which number thousands in a large fleet. */
    public ProxyConfig withoutInitialEndpoints() {
        return copy(admin, emptyEndpointList(), connectionLimits, gossip, recovery, shadowSettings);
    }

    /** Returns a copy with other limits of client connections. */
    public ProxyConfig withConnectionLimits(ConnectionLimits otherLimits) {
        return copy(admin, initialEndpoints, otherLimits, gossip, recovery, shadowSettings);
    }

    /** Returns a copy with settings to be evaluated in shadow. */
    public ProxyConfig withShadow(Settings otherShadow) {
        return copy(admin, initialEndpoints, connectionLimits, gossip, recovery, otherShadow);
    }

    /** Returns a copy with an admin address. */
    ProxyConfig withAdminAddress(InetSocketAddress address) {
        return copy(address, initialEndpoints, connectionLimits, gossip, recovery, shadowSettings);
    }

    /** Returns a copy with the values of the settings files. */
    ProxyConfig withFiles(
            ConnectionLimits otherLimits,
            GossipSettings otherGossip,
            RecoverySettings otherRecovery) {
        return copy(
                admin, initialEndpoints, otherLimits, otherGossip, otherRecovery, shadowSettings);
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
                maxDescriptors,
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

    /** Returns a complete endpoint list without endpoints. */
    static JsonObject emptyEndpointList() {
        JsonObject list = new JsonObject();
        list.addProperty("complete", true);
        list.add("members", new JsonArray());
        return list;
    }
}
