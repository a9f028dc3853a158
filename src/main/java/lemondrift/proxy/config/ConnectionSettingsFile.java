package lemondrift.proxy.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import lemondrift.connection.ConnectionLimits;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import lemondrift.proxy.http.HttpFieldRules;
import lemondrift.settings.InvalidSettingsException;

/** Reads what a deployment may say of the door, in a file of its own; docs/door.md has the keys. */
public final class ConnectionSettingsFile {
    /**
     * The share of the proxy's connections that clients may have, and where no more are accepted.
     */
    private static final double SHARE = 0.6;

    private static final double LAST = 0.66;

    /**
     * Seconds that an answered connection may be quiet, and before which none is closed between
     * requests.
     */
    private static final double QUIET = 2.2;

    private static final double EARLIEST = 2;

    /** Bytes a second: the largest head takes eight seconds at the most. */
    private static final double LEAST_RATE = HttpFieldRules.MOST / 8.0;

    private ConnectionSettingsFile() {}

    /** The door's bounds for so many connections, where no file says otherwise. */
    static ConnectionLimits usual(int connections, Settings settings) {
        double benefit =
                settings.requestClasses().stream()
                        .mapToDouble(RequestClass::priorityWeight)
                        .filter(each -> each > 0)
                        .average()
                        .orElse(1);
        return new ConnectionLimits(
                (int) (SHARE * connections),
                (int) (LAST * connections),
                QUIET,
                EARLIEST,
                ConnectionLimits.Sharing.CONNECTION,
                false,
                LEAST_RATE,
                benefit);
    }

    /** The same with what a file says; what can't be used is one line that names file and key. */
    public static ConnectionLimits read(Path file, ConnectionLimits usual) throws IOException {
        double quiet = usual.quiet();
        double earliest = -1;
        double leastRate = usual.leastRate();
        ConnectionLimits.Sharing sharing = usual.sharing();
        boolean announces = usual.announces();
        for (Map.Entry<String, JsonElement> each : object(file).entrySet()) {
            JsonElement value = each.getValue();
            try {
                switch (each.getKey()) {
                    case "quiet" -> quiet = seconds(value, 0.1, 3600);
                    case "earliest" -> earliest = seconds(value, 0, 3600);
                    case "leastRate" -> leastRate = seconds(value, 1, 1e9);
                    case "sharing" -> sharing = sharing(value);
                    case "announces" -> announces = bool(value);
                    default ->
                            throw new InvalidSettingsException(
                                    "not a key; there are quiet, earliest, leastRate, sharing, "
                                            + "announces");
                }
            } catch (InvalidSettingsException
                    | IllegalStateException
                    | UnsupportedOperationException e) {
                throw new InvalidSettingsException(
                        file + ": " + each.getKey() + ": " + e.getMessage());
            }
        }
        if (earliest > quiet) {
            throw new InvalidSettingsException(
                    file + ": earliest: " + earliest + " is over quiet, " + quiet);
        }
        double first = earliest >= 0 ? earliest : usual.earliest() / usual.quiet() * quiet;
        return new ConnectionLimits(
                usual.places(),
                usual.last(),
                quiet,
                first,
                sharing,
                announces,
                leastRate,
                usual.benefit());
    }

    static JsonObject object(Path file) throws IOException {
        try {
            return JsonParser.parseString(Files.readString(file)).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new InvalidSettingsException(
                    file + ": not the JSON object that is wanted: " + e.getMessage());
        }
    }

    static double seconds(JsonElement value, double least, double most) {
        double number;
        try {
            number = value.getAsDouble();
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("not a number: " + value);
        }
        if (!(number >= least && number <= most)) {
            throw new InvalidSettingsException(number + " is not from " + least + " to " + most);
        }
        return number;
    }

    private static boolean bool(JsonElement value) {
        if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isBoolean()) {
            throw new InvalidSettingsException("neither true nor false: " + value);
        }
        return value.getAsBoolean();
    }

    private static ConnectionLimits.Sharing sharing(JsonElement value) {
        return Arrays.stream(ConnectionLimits.Sharing.values())
                .filter(each -> each.name().toLowerCase(Locale.ROOT).equals(value.getAsString()))
                .findFirst()
                .orElseThrow(
                        () ->
                                new InvalidSettingsException(
                                        "none of connection, address, tenant: " + value));
    }
}
