package lemondrift.proxy.config;

import com.google.gson.JsonElement;
import java.io.IOException;
import java.nio.file.Path;
import lemondrift.recovery.PeerPollSettings;
import lemondrift.settings.InvalidSettingsException;

/**
 * Reads the settings of the recovery after a start from the file that PROXY_RECOVERY names.
 * docs/recovery.md describes the keys. Durations in the file are multiples of the window, the
 * shortest latency objective, except for the snapshot interval, which is in seconds.
 */
final class RecoverySettingsFile {
    /** Default time between two snapshots, in seconds. */
    private static final double DEFAULT_SNAPSHOT_INTERVAL_SECONDS = 5;

    /** Maximum number of peers to poll at once, and of samples that end polling. */
    private static final int MAX_COUNT = 255;

    private double pollIntervalWindows;
    private double decisionTimeoutWindows;
    private double expiryWindows;
    private int peersPerPoll;
    private int settledSamples;
    private double snapshotIntervalSeconds = DEFAULT_SNAPSHOT_INTERVAL_SECONDS;

    /** Null if no disk outlives the process. */
    private Path snapshotFolder;

    private RecoverySettingsFile() {
        PeerPollSettings defaults = PeerPollSettings.forLatencyObjective(1);
        pollIntervalWindows = defaults.intervalSeconds();
        decisionTimeoutWindows = defaults.decisionTimeoutSeconds();
        expiryWindows = defaults.expirySeconds();
        peersPerPoll = defaults.fanout();
        settledSamples = defaults.settledSamples();
    }

    /**
     * Reads the file.
     *
     * @param windowSeconds the window in seconds, by which durations are multiplied
     * @throws IOException if the file cannot be read
     * @throws InvalidSettingsException if a key or value is invalid; the message is one line with
     *     the file and the key
     */
    static RecoverySettings read(Path file, double windowSeconds) throws IOException {
        RecoverySettingsFile settings = new RecoverySettingsFile();
        SettingsFile.readKeys(file, settings::readKey);
        if (settings.expiryWindows < settings.decisionTimeoutWindows) {
            throw new InvalidSettingsException(
                    file
                            + ": forget: "
                            + settings.expiryWindows
                            + ": must not be less than bound, "
                            + settings.decisionTimeoutWindows);
        }
        return settings.inSeconds(windowSeconds);
    }

    private void readKey(String key, JsonElement value) {
        switch (key) {
            case "ask" -> pollIntervalWindows = SettingsFile.parseNumber(value, 0.01, 10);
            case "bound" -> decisionTimeoutWindows = SettingsFile.parseNumber(value, 0.1, 100);
            case "forget" -> expiryWindows = SettingsFile.parseNumber(value, 0.1, 1000);
            case "fanout" -> peersPerPoll = (int) SettingsFile.parseNumber(value, 1, MAX_COUNT);
            case "enough" -> settledSamples = (int) SettingsFile.parseNumber(value, 1, MAX_COUNT);
            case "period" -> snapshotIntervalSeconds = SettingsFile.parseNumber(value, 0.1, 3600);
            case "folder" -> snapshotFolder = Path.of(value.getAsString());
            default ->
                    throw new InvalidSettingsException(
                            "not a key; there are ask, bound, forget, fanout, enough, "
                                    + "folder, period");
        }
    }

    private RecoverySettings inSeconds(double windowSeconds) {
        return new RecoverySettings(
                new PeerPollSettings(
                        pollIntervalWindows * windowSeconds,
                        decisionTimeoutWindows * windowSeconds,
                        expiryWindows * windowSeconds,
                        peersPerPoll,
                        settledSamples),
                snapshotFolder,
                snapshotIntervalSeconds);
    }
}
