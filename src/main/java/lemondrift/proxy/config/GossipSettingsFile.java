package lemondrift.proxy.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import lemondrift.settings.InvalidSettingsException;

/**
 * Reads the settings of load gossip from the file that PROXY_PEERS names and from the peer
 * addresses in the configuration. docs/gossip.md describes the keys. Durations in the file are
 * multiples of the window, the shortest latency objective.
 */
final class GossipSettingsFile {
    /** Default minimum time between two messages to the same peer, in windows. */
    private static final double DEFAULT_MIN_INTERVAL_WINDOWS = 0.02;

    /** Default time after which the load reports of a silent peer expire, in windows. */
    private static final double DEFAULT_EXPIRY_WINDOWS = 2;

    /** Default number of backends that each proxy uses. */
    private static final int DEFAULT_SUBSET_SIZE = 12;

    private double minIntervalWindows = DEFAULT_MIN_INTERVAL_WINDOWS;
    private double expiryWindows = DEFAULT_EXPIRY_WINDOWS;
    private int subsetSize = DEFAULT_SUBSET_SIZE;

    private GossipSettingsFile() {}

    /**
     * Reads the file.
     *
     * @return the settings; null if the configuration forbids messages between proxies, lacks one
     *     of peer_listen, peers and slotNo, or if slotNo is not the number of a peer
     * @throws IOException if the file cannot be read
     * @throws InvalidSettingsException if a key, value or address is invalid; the message is one
     *     line with the key, and with the file unless the key is one of the configuration
     */
    static GossipSettings read(Path file, Settings settings, JsonObject config) throws IOException {
        GossipSettingsFile gossip = new GossipSettingsFile();
        SettingsFile.readKeys(file, gossip::readKey);
        double windowSeconds =
                settings.requestClasses().stream()
                        .mapToDouble(RequestClass::latencyObjectiveSeconds)
                        .min()
                        .orElse(1);
        return gossip.withAddresses(config, windowSeconds);
    }

    private void readKey(String key, JsonElement value) {
        switch (key) {
            case "pace" -> minIntervalWindows = SettingsFile.parseNumber(value, 0.001, 1);
            case "forget" -> expiryWindows = SettingsFile.parseNumber(value, 0.1, 100);
            case "part" -> subsetSize = (int) SettingsFile.parseNumber(value, 1, 1000);
            default ->
                    throw new InvalidSettingsException("not a key; there are pace, forget, part");
        }
    }

    private GossipSettings withAddresses(JsonObject config, double windowSeconds) {
        JsonObject settings =
                config.has("settings") ? config.getAsJsonObject("settings") : new JsonObject();
        if (!isGossipAllowed(settings)
                || !config.has("peer_listen")
                || !config.has("peers")
                || !settings.has("slotNo")) {
            return null;
        }
        List<InetSocketAddress> proxies = new ArrayList<>();
        for (JsonElement address : config.getAsJsonArray("peers")) {
            proxies.add(ProxyConfig.parseAddress("peers", address.getAsString()));
        }
        int self = settings.get("slotNo").getAsInt();
        if (self < 0 || self >= proxies.size()) {
            return null;
        }
        String listen = config.get("peer_listen").getAsString();
        return new GossipSettings(
                ProxyConfig.parseAddress("peer_listen", listen),
                proxies,
                self,
                minIntervalWindows * windowSeconds,
                expiryWindows * windowSeconds,
                subsetSize);
    }

    private static boolean isGossipAllowed(JsonObject settings) {
        return settings.has("limits")
                && settings.getAsJsonObject("limits").has("mayTell")
                && settings.getAsJsonObject("limits").get("mayTell").getAsBoolean();
    }
}
