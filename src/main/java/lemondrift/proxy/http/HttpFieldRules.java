package lemondrift.proxy.http;

import java.util.BitSet;

/**
 * What may stand in a message's head, a client's or a backend's. Guards against heads that another
 * reader understands in another way.
 */
public final class HttpFieldRules {
    /** Bytes that a head may have. */
    public static final int MAX_HEAD_BYTES = 16 * 1024;

    /** The characters of a token, RFC 9110 section 5.6.2. */
    private static final BitSet TOKEN_CHARACTERS = new BitSet();

    static {
        "!#$%&'*+.^_`|~-0123456789".chars().forEach(TOKEN_CHARACTERS::set);
        TOKEN_CHARACTERS.set('a', 'z' + 1);
        TOKEN_CHARACTERS.set('A', 'Z' + 1);
    }

    private HttpFieldRules() {}

    /** Whether a text is a token, as names of fields are; an empty one is none. */
    public static boolean isToken(CharSequence text) {
        for (int index = 0; index < text.length(); index++) {
            if (!TOKEN_CHARACTERS.get(text.charAt(index))) {
                return false;
            }
        }
        return text.length() > 0;
    }

    /** Whether a text holds no control character but the tab, as values of fields. */
    public static boolean isFieldValue(CharSequence text) {
        for (int index = 0; index < text.length(); index++) {
            if (text.charAt(index) < ' ' && text.charAt(index) != '\t') {
                return false;
            }
        }
        return true;
    }

    /**
     * The number that a text of decimal digits is; -1 where it is empty, longer or something else.
     */
    public static int parseNumber(String text, int maxDigits) {
        int number = 0;
        for (int index = 0; index < text.length(); index++) {
            int digit = text.charAt(index) - '0';
            if (digit < 0 || digit > 9 || index >= maxDigits) {
                return -1;
            }
            number = 10 * number + digit;
        }
        return text.isEmpty() ? -1 : number;
    }
}
