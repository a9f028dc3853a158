package lemondrift.settings;

/** Input that cannot be read; the message says what and where. */
public final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1;

    public BadInput(String message) {
        super(message);
    }
}
