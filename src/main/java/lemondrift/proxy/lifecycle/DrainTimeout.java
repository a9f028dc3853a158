package lemondrift.proxy.lifecycle;

import java.util.Map;
import lemondrift.settings.InvalidSettingsException;

/** Reads from the environment how long a shutdown waits for responses that have begun. */
final class DrainTimeout {
    /** Environment variable with the time from SIGTERM, in seconds. */
    private static final String VARIABLE = "PROXY_DRAIN_TIMEOUT";

    /** The longest response that the operators' pages name, in bytes. */
    private static final double LONGEST_RESPONSE_BYTES = 32e6;

    /** The rate of the slowest client that the operators' pages name, in bytes per second. */
    private static final double SLOWEST_CLIENT_BYTES_PER_SECOND = 64e3;

    private static final double DEFAULT_SECONDS =
            LONGEST_RESPONSE_BYTES / SLOWEST_CLIENT_BYTES_PER_SECOND;

    private static final double MAX_SECONDS = 3600;

    private DrainTimeout() {}

    /**
     * Returns the time in seconds, or the default if the variable is not set.
     *
     * @throws InvalidSettingsException if the value is not a number from 0 to 3600
     */
    static double readSeconds(Map<String, String> environment) {
        String text = environment.get(VARIABLE);
        if (text == null) {
            return DEFAULT_SECONDS;
        }
        double seconds;
        try {
            seconds = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException(VARIABLE + ": not a number: " + text);
        }
        // Negated so that NaN is out of range as well.
        if (!(seconds >= 0 && seconds <= MAX_SECONDS)) {
            throw new InvalidSettingsException(
                    VARIABLE + ": " + text + ": must be from 0 to " + MAX_SECONDS);
        }
        return seconds;
    }
}
