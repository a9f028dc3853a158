package lemondrift.serve;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads one answer as it comes; what can't be read in one way only is an IOException. UndertowClient does not
 * do here: it takes any 1xx but 100 for the answer, the first of two lengths for the length, and keeps what
 * lies beyond an answer for the next one.
 */
final class AnswerReader {
    private static final Pattern CHUNK = Pattern.compile("([0-9A-Fa-f]{1,7})[ \\t]*(;.*)?");

    private enum Part { STATUS, FIELDS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER, TO_THE_END, WHOLE }

    private final int most;
    private final StringBuilder line = new StringBuilder(80);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);
    private Part part = Part.STATUS;
    private HeaderMap headers = new HeaderMap();
    private boolean old;
    private int status, inHeads, left;

    /** The most is that of the body; heads, 1xx too, and lines between chunks have a bound of their own. */
    AnswerReader(int most) {
        this.most = most;
    }

    /** Takes what has come; whether the answer is whole. What is left in the buffer then is not its own. */
    boolean read(ByteBuffer from) throws IOException {
        while (part != Part.WHOLE && from.hasRemaining()) {
            switch (part) {
                case BODY, CHUNK -> {
                    take(from, Math.min(left, from.remaining()));
                    if (left == 0) {
                        part = part == Part.BODY ? Part.WHOLE : Part.CHUNK_END;
                    }
                }
                case TO_THE_END -> {
                    left = most - body.size();
                    take(from, from.remaining());
                }
                default -> {
                    String text = line(from);
                    if (text != null) {
                        next(text);
                    }
                }
            }
        }
        return part == Part.WHOLE;
    }

    /** Whether the connection's end, which has come, is the answer's. */
    boolean endsHere() {
        return part == Part.TO_THE_END;
    }

    /** Whether the connection is of no use after the answer. */
    boolean closes() {
        String connection = headers.getFirst(Headers.CONNECTION);
        return connection == null ? old : !connection.equalsIgnoreCase("keep-alive");
    }

    Answer answer() {
        return new Answer(status, headers, body.toByteArray(), true, false);
    }

    private void take(ByteBuffer from, int count) throws IOException {
        if (count > left) {
            throw new IOException("an answer of over " + most + " bytes");
        }
        byte[] bytes = new byte[count];
        from.get(bytes);
        body.writeBytes(bytes);
        left -= count;
    }

    /** The next line without its end; null until it has come. */
    private String line(ByteBuffer from) throws IOException {
        while (from.hasRemaining()) {
            char c = (char) (from.get() & 0xFF);
            if (++inHeads > Fields.MOST) {
                throw new IOException("a head of over " + Fields.MOST + " bytes");
            }
            if (c == '\n') {
                int end = line.length() - 1;
                require(end >= 0 && line.charAt(end) == '\r', line);
                String text = line.substring(0, end);
                line.setLength(0);
                return text;
            }
            line.append(c);
        }
        return null;
    }

    private void next(String text) throws IOException {
        switch (part) {
            case STATUS -> {
                old = text.startsWith("HTTP/1.0 ");
                require((old || text.startsWith("HTTP/1.1 ")) && text.length() >= 12 && Fields.isValue(text)
                        && (text.length() == 12 || text.charAt(12) == ' '), text);
                status = Fields.number(text.substring(9, 12), 3);
                require(status >= 100 && status < 600, text);
                part = Part.FIELDS;
            }
            case FIELDS -> {
                if (text.isEmpty()) {
                    framing();
                } else {
                    int colon = text.indexOf(':');
                    String name = text.substring(0, Math.max(0, colon));
                    require(Fields.isToken(name) && Fields.isValue(text), text);
                    headers.add(new HttpString(name), text.substring(colon + 1).strip());
                }
            }
            case CHUNK_SIZE -> {
                Matcher size = CHUNK.matcher(text);
                require(size.matches(), text);
                left = Integer.parseInt(size.group(1), 16);
                require(left <= most - body.size(), text);
                part = left == 0 ? Part.TRAILER : Part.CHUNK;
            }
            case CHUNK_END -> {
                require(text.isEmpty(), text);
                part = Part.CHUNK_SIZE;
            }
            default -> part = text.isEmpty() ? Part.WHOLE : part;
        }
    }

    /** Danger: framing that can be read in two ways would pass a part for the whole, or the next answer's. */
    private void framing() throws IOException {
        HeaderValues codings = headers.get(Headers.TRANSFER_ENCODING);
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        if (status < 200) {
            require(status != 101, "an upgrade");
            headers = new HeaderMap();
            part = Part.STATUS;
        } else if (codings != null) {
            require(lengths == null && codings.size() == 1 && codings.getFirst().equalsIgnoreCase("chunked")
                    && !old, codings);
            part = Part.CHUNK_SIZE;
        } else if (lengths != null) {
            // Danger: one of 3 GB is known to be too long here, and would come for as long as it is read.
            left = Fields.number(lengths.getFirst(), 9);
            require(lengths.size() == 1 && left >= 0 && left <= most, lengths);
            part = left == 0 ? Part.WHOLE : Part.BODY;
        } else if (status == 204 || status == 304) {
            part = Part.WHOLE;
        } else {
            require(closes(), "an answer without a length");
            part = Part.TO_THE_END;
        }
    }

    private static void require(boolean holds, Object what) throws IOException {
        if (!holds) {
            throw new IOException("an answer that can't be read: " + what);
        }
    }
}
