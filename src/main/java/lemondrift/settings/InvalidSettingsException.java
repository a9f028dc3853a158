package lemondrift.settings;

/**
 * Settings, a configuration or an experiment that cannot be used; the message says which key and
 * why.
 */
public final class InvalidSettingsException extends RuntimeException {
    /**
     * Operators' tools match the lines of {@code check}, so the name that stands in them is kept.
     */
    private static final String REPORTED_NAME = "lemondrift.settings.BadInput";

    private static final long serialVersionUID = 1;

    /** Creates one with the key and the reason in its message. */
    public InvalidSettingsException(String message) {
        super(message);
    }

    @Override
    @SuppressWarnings(
            "OverrideThrowableToString") // the message alone is what callers add a file to
    public String toString() {
        return REPORTED_NAME + ": " + getMessage();
    }
}
