package lemondrift.drill;

/** Input that cannot be read; the message says what and where. */
final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1;

    BadInput(String message) {
        super(message);
    }
}
