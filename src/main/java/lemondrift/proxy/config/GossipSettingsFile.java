package lemondrift.proxy.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemondrift.model.Settings;
import lemondrift.settings.InvalidSettingsException;

/** Reads what a deployment may say of telling other proxies; docs/peers.md has the keys. */
final class GossipSettingsFile {
    /**
     * The pace of tellings and when a silent one is forgotten, as shares of the shortest contract
     * time.
     */
    private static final double PACE = 0.02;

    private static final double FORGET = 2;

    private static final int PART = 12;

    private GossipSettingsFile() {}

    /**
     * Null where the configuration forbids messages between proxies or names no addresses for them.
     */
    public static GossipSettings read(Path file, Settings settings, JsonObject config)
            throws IOException {
        double pace = PACE;
        double forget = FORGET;
        int part = PART;
        for (Map.Entry<String, JsonElement> each : ConnectionSettingsFile.object(file).entrySet()) {
            try {
                switch (each.getKey()) {
                    case "pace" -> pace = ConnectionSettingsFile.seconds(each.getValue(), 0.001, 1);
                    case "forget" ->
                            forget = ConnectionSettingsFile.seconds(each.getValue(), 0.1, 100);
                    case "part" ->
                            part = (int) ConnectionSettingsFile.seconds(each.getValue(), 1, 1000);
                    default ->
                            throw new InvalidSettingsException(
                                    "not a key; there are pace, forget, part");
                }
            } catch (InvalidSettingsException
                    | IllegalStateException
                    | UnsupportedOperationException e) {
                throw new InvalidSettingsException(
                        file + ": " + each.getKey() + ": " + e.getMessage());
            }
        }
        double window =
                settings.requestClasses().stream()
                        .mapToDouble(g -> g.latencyObjectiveSeconds())
                        .min()
                        .orElse(1);
        return place(config, pace * window, forget * window, part);
    }

    private static GossipSettings place(JsonObject config, double pace, double forget, int part) {
        JsonObject settings =
                config.has("settings") ? config.getAsJsonObject("settings") : new JsonObject();
        boolean allowed =
                settings.has("limits")
                        && settings.getAsJsonObject("limits").has("mayTell")
                        && settings.getAsJsonObject("limits").get("mayTell").getAsBoolean();
        if (!allowed
                || !config.has("peer_listen")
                || !config.has("peers")
                || !settings.has("slotNo")) {
            return null;
        }
        List<InetSocketAddress> proxies = new ArrayList<>();
        for (JsonElement each : config.getAsJsonArray("peers")) {
            proxies.add(ProxyConfig.address("peers", each.getAsString()));
        }
        int self = settings.get("slotNo").getAsInt();
        return self < 0 || self >= proxies.size()
                ? null
                : new GossipSettings(
                        ProxyConfig.address("peer_listen", config.get("peer_listen").getAsString()),
                        proxies,
                        self,
                        pace,
                        forget,
                        part);
    }
}
