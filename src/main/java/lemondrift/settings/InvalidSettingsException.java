package lemondrift.settings;

/**
 * Thrown if settings, a configuration or an experiment cannot be used. The message contains the key
 * and the reason.
 */
public final class InvalidSettingsException extends RuntimeException {
    /**
     * The name that {@code check} prints. It is kept because operators' tools match the lines of
     * {@code check}.
     */
    private static final String REPORTED_NAME = "lemondrift.settings.BadInput";

    private static final long serialVersionUID = 1;

    /** Creates an exception whose message contains the key and the reason. */
    public InvalidSettingsException(String message) {
        super(message);
    }

    @Override
    @SuppressWarnings("OverrideThrowableToString") // callers prefix the message with a file name
    public String toString() {
        return REPORTED_NAME + ": " + getMessage();
    }
}
