package lemondrift.proxy.http;

import java.util.BitSet;

/**
 * The syntax rules for heads of requests and responses. Guards against heads that another recipient
 * would interpret differently.
 */
public final class HttpFieldRules {
    /** The maximum length of a head. */
    public static final int MAX_HEAD_BYTES = 16 * 1024;

    /** The characters of a token, RFC 9110 section 5.6.2. */
    private static final BitSet TOKEN_CHARACTERS = new BitSet();

    static {
        "!#$%&'*+.^_`|~-0123456789".chars().forEach(TOKEN_CHARACTERS::set);
        TOKEN_CHARACTERS.set('a', 'z' + 1);
        TOKEN_CHARACTERS.set('A', 'Z' + 1);
    }

    private HttpFieldRules() {}

    /** Returns whether a text is a token, as field names are; false if it is empty. */
    public static boolean isToken(CharSequence text) {
        for (int index = 0; index < text.length(); index++) {
            if (!TOKEN_CHARACTERS.get(text.charAt(index))) {
                return false;
            }
        }
        return text.length() > 0;
    }

    /** Returns whether a text can be a field value: no character below the space except the tab. */
    public static boolean isFieldValue(CharSequence text) {
        for (int index = 0; index < text.length(); index++) {
            if (text.charAt(index) < ' ' && text.charAt(index) != '\t') {
                return false;
            }
        }
        return true;
    }

    /**
     * Parses a text of decimal digits; returns -1 if it is empty, has more than the maximum number
     * of digits, or contains any other character.
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
