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
 * Reads how a proxy exchanges load gossip, from the file that PROXY_PEERS names and the peers'
 * addresses in the configuration; docs/gossip.md has the keys. Durations are stated as multiples of
 * the window, the shortest latency objective.
 */
final class GossipSettingsFile {
    /** The least time between two messages to one peer, where the file does not say. */
    private static final double DEFAULT_MIN_INTERVAL_WINDOWS = 0.02;

    /** After how long what a silent peer reported no longer counts, where the file does not say. */
    private static final double DEFAULT_EXPIRY_WINDOWS = 2;

    /** How many backends each proxy uses, where the file does not say. */
    private static final int DEFAULT_SUBSET_SIZE = 12;

    private double minIntervalWindows = DEFAULT_MIN_INTERVAL_WINDOWS;
    private double expiryWindows = DEFAULT_EXPIRY_WINDOWS;
    private int subsetSize = DEFAULT_SUBSET_SIZE;

    private GossipSettingsFile() {}

    /**
     * Reads the file; null where the configuration forbids messages between proxies or does not say
     * where this proxy and its peers are.
     *
     * @throws InvalidSettingsException where something cannot be used; one line with file and key
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
