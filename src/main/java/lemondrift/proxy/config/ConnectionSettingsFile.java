package lemondrift.proxy.config;

import com.google.gson.JsonElement;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.OptionalDouble;
import lemondrift.connection.ConnectionLimits;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import lemondrift.proxy.http.HttpFieldRules;
import lemondrift.settings.InvalidSettingsException;

/**
 * Reads the limits of client connections from the file that PROXY_DOOR names. docs/connections.md
 * describes the keys.
 */
public final class ConnectionSettingsFile {
    /** Share of the proxy's connections that clients may use. */
    private static final double CLIENTS_SHARE = 0.6;

    /** Share of the proxy's connections at which it stops accepting clients. */
    private static final double ACCEPT_SHARE = 0.66;

    /** Default maximum idle time of an answered connection, in seconds. */
    private static final double DEFAULT_IDLE_SECONDS = 2.2;

    /** Default idle time before which no connection is closed between requests, in seconds. */
    private static final double DEFAULT_MIN_IDLE_SECONDS = 2;

    /** Seconds that the longest request head takes at the minimum rate. */
    private static final double LARGEST_HEAD_SECONDS = 8;

    /** Default minimum rate at which a client must make progress, in bytes per second. */
    private static final double DEFAULT_MIN_BYTES_PER_SECOND =
            HttpFieldRules.MAX_HEAD_BYTES / LARGEST_HEAD_SECONDS;

    private double idleSeconds;
    private OptionalDouble minIdleSeconds = OptionalDouble.empty();
    private double minBytesPerSecond;
    private ConnectionLimits.Sharing sharing;
    private boolean announcesTimeout;

    private ConnectionSettingsFile(ConnectionLimits defaults) {
        idleSeconds = defaults.maxIdleSeconds();
        minBytesPerSecond = defaults.minBytesPerSecond();
        sharing = defaults.sharing();
        announcesTimeout = defaults.announcesKeepAlive();
    }

    /**
     * Returns the default limits.
     *
     * @param connections the number of connections that the proxy may hold
     * @param settings the settings whose request classes define the typical priority weight
     */
    static ConnectionLimits defaults(int connections, Settings settings) {
        double meanPriorityWeight =
                settings.requestClasses().stream()
                        .mapToDouble(RequestClass::priorityWeight)
                        .filter(weight -> weight > 0)
                        .average()
                        .orElse(1);
        return new ConnectionLimits(
                (int) (CLIENTS_SHARE * connections),
                (int) (ACCEPT_SHARE * connections),
                DEFAULT_IDLE_SECONDS,
                DEFAULT_MIN_IDLE_SECONDS,
                ConnectionLimits.Sharing.CONNECTION,
                false,
                DEFAULT_MIN_BYTES_PER_SECOND,
                meanPriorityWeight);
    }

    /**
     * Reads a file and applies its values to the default limits.
     *
     * @throws IOException if the file cannot be read
     * @throws InvalidSettingsException if a key or value is invalid; the message is one line with
     *     the file and the key
     */
    public static ConnectionLimits read(Path file, ConnectionLimits defaults) throws IOException {
        ConnectionSettingsFile settings = new ConnectionSettingsFile(defaults);
        SettingsFile.readKeys(file, settings::readKey);
        settings.requireMinIdleInRange(file);
        return settings.toLimits(defaults);
    }

    private void readKey(String key, JsonElement value) {
        switch (key) {
            case "quiet" -> idleSeconds = SettingsFile.parseNumber(value, 0.1, 3600);
            case "earliest" ->
                    minIdleSeconds = OptionalDouble.of(SettingsFile.parseNumber(value, 0, 3600));
            case "leastRate" -> minBytesPerSecond = SettingsFile.parseNumber(value, 1, 1e9);
            case "sharing" -> sharing = parseSharing(value);
            case "announces" -> announcesTimeout = SettingsFile.parseBoolean(value);
            default ->
                    throw new InvalidSettingsException(
                            "not a key; there are quiet, earliest, leastRate, sharing, "
                                    + "announces");
        }
    }

    private void requireMinIdleInRange(Path file) {
        if (minIdleSeconds.isPresent() && minIdleSeconds.getAsDouble() > idleSeconds) {
            throw new InvalidSettingsException(
                    file
                            + ": earliest: "
                            + minIdleSeconds.getAsDouble()
                            + ": must not be greater than quiet, "
                            + idleSeconds);
        }
    }

    /**
     * Returns the limits. If the file sets only the idle time, the minimum idle time keeps its
     * ratio to it.
     */
    private ConnectionLimits toLimits(ConnectionLimits defaults) {
        return new ConnectionLimits(
                defaults.maxConnections(),
                defaults.acceptLimit(),
                idleSeconds,
                minIdleSeconds.orElse(
                        defaults.minIdleSeconds() / defaults.maxIdleSeconds() * idleSeconds),
                sharing,
                announcesTimeout,
                minBytesPerSecond,
                defaults.typicalPriorityWeight());
    }

    private static ConnectionLimits.Sharing parseSharing(JsonElement value) {
        return Arrays.stream(ConnectionLimits.Sharing.values())
                .filter(each -> each.name().toLowerCase(Locale.ROOT).equals(value.getAsString()))
                .findFirst()
                .orElseThrow(
                        () ->
                                new InvalidSettingsException(
                                        "must be connection, address or tenant: " + value));
    }
}
