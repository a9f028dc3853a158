package lemondrift.proxy.config;

import com.google.gson.JsonElement;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import lemondrift.recovery.PeerPollBackoff;
import lemondrift.settings.InvalidSettingsException;

/**
 * Reads what a deployment may say of a proxy's way back after its start; docs/recovery.md has the
 * keys.
 */
final class RecoverySettingsFile {
    private static final double PERIOD = 5;
    private static final int MOST = 255;

    private RecoverySettingsFile() {}

    /** Spans are given as shares of the shortest contract time, which is so many seconds. */
    public static RecoverySettings read(Path file, double window) throws IOException {
        PeerPollBackoff usual = PeerPollBackoff.of(1);
        double ask = usual.ask();
        double bound = usual.bound();
        double forget = usual.forget();
        double period = PERIOD;
        int fanout = usual.fanout();
        int enough = usual.enough();
        Path folder = null;
        for (Map.Entry<String, JsonElement> each : ConnectionSettingsFile.object(file).entrySet()) {
            JsonElement value = each.getValue();
            try {
                switch (each.getKey()) {
                    case "ask" -> ask = ConnectionSettingsFile.seconds(value, 0.01, 10);
                    case "bound" -> bound = ConnectionSettingsFile.seconds(value, 0.1, 100);
                    case "forget" -> forget = ConnectionSettingsFile.seconds(value, 0.1, 1000);
                    case "fanout" -> fanout = (int) ConnectionSettingsFile.seconds(value, 1, MOST);
                    case "enough" -> enough = (int) ConnectionSettingsFile.seconds(value, 1, MOST);
                    case "period" -> period = ConnectionSettingsFile.seconds(value, 0.1, 3600);
                    case "folder" -> folder = Path.of(value.getAsString());
                    default ->
                            throw new InvalidSettingsException(
                                    "not a key; there are ask, bound, forget, fanout, enough, "
                                            + "folder, period");
                }
            } catch (InvalidSettingsException
                    | IllegalStateException
                    | UnsupportedOperationException e) {
                throw new InvalidSettingsException(
                        file + ": " + each.getKey() + ": " + e.getMessage());
            }
        }
        if (forget < bound) {
            throw new InvalidSettingsException(
                    file + ": forget: " + forget + " is under bound, " + bound);
        }
        return new RecoverySettings(
                new PeerPollBackoff(ask * window, bound * window, forget * window, fanout, enough),
                folder,
                period);
    }
}
