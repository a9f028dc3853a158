package lemondrift.proxy.http;

import java.util.BitSet;

/**
 * What may stand in a message's head. Danger: what one reader skips another may take for a line's
 * end.
 */
public final class HttpFieldRules {
    /** Bytes that a head may have, a client's or a backend's. */
    public static final int MOST = 16 * 1024;

    private static final BitSet TOKEN = new BitSet();

    static {
        "!#$%&'*+.^_`|~-0123456789".chars().forEach(TOKEN::set);
        TOKEN.set('a', 'z' + 1);
        TOKEN.set('A', 'Z' + 1);
    }

    private HttpFieldRules() {}

    public static boolean isToken(CharSequence text) {
        for (int i = 0; i < text.length(); i++) {
            if (!TOKEN.get(text.charAt(i))) {
                return false;
            }
        }
        return text.length() > 0;
    }

    public static boolean isValue(CharSequence text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < ' ' && text.charAt(i) != '\t') {
                return false;
            }
        }
        return true;
    }

    /** Digits only, so many at the most; -1 where it is something else. */
    public static int number(String text, int digits) {
        int number = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9 || i >= digits) {
                return -1;
            }
            number = 10 * number + digit;
        }
        return text.isEmpty() ? -1 : number;
    }
}
