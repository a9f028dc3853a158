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
 * Reads the limits of clients' connections, from the file that PROXY_DOOR names;
 * docs/connections.md has the keys.
 */
public final class ConnectionSettingsFile {
    /** The share of the proxy's connections that clients may have. */
    private static final double CLIENTS_SHARE = 0.6;

    /** The share of the proxy's connections at which no more clients are accepted. */
    private static final double ACCEPT_SHARE = 0.66;

    /** Seconds that an answered connection may be idle, where the file does not say. */
    private static final double DEFAULT_IDLE_SECONDS = 2.2;

    /** Seconds before which no connection is closed between requests, where nothing is said. */
    private static final double DEFAULT_MIN_IDLE_SECONDS = 2;

    /** Seconds that the largest head may take at the least rate. */
    private static final double LARGEST_HEAD_SECONDS = 8;

    /** The least progress that a client must make, where the file does not say. */
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

    /** The limits where no file says otherwise, for a proxy of so many connections. */
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
     * The usual limits with what a file changes.
     *
     * @throws InvalidSettingsException where something cannot be used; one line with file and key
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
                            + " is over quiet, "
                            + idleSeconds);
        }
    }

    /** Where only the idle time is stated, the least idle time keeps its ratio to it. */
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
                                        "none of connection, address, tenant: " + value));
    }
}
