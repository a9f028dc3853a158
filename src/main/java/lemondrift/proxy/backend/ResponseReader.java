package lemondrift.proxy.backend;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.ResponseRemainder;
import lemondrift.proxy.http.HttpFieldRules;

/**
 * Reads one answer as it comes; what can't be read in one way only is an IOException.
 * UndertowClient does not do here: it takes any 1xx but 100 for the answer, the first of two
 * lengths for the length, and keeps what lies beyond an answer for the next one.
 */
public final class ResponseReader {
    private static final Pattern CHUNK = Pattern.compile("([0-9A-Fa-f]{1,7})[ \\t]*(;.*)?");

    private enum Part {
        STATUS,
        FIELDS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        TO_THE_END,
        WHOLE
    }

    /** Bytes of the longest body that is passed on; what is said to be longer is spoilt. */
    private static final int LONGEST = 64 << 20;

    private final int most;
    private final boolean mayPass;
    private final StringBuilder line = new StringBuilder(80);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);
    private Part part = Part.STATUS;
    private HeaderMap headers = new HeaderMap();
    private boolean old;
    private int status;
    private int inHeads;
    private int inChunks;
    private int left;
    private int declared = -1;
    private long came;
    private boolean passed;

    /**
     * The most is that of a body that is held; heads, 1xx too, and lines between chunks have bounds
     * of their own. A longer one, if it may be, is passed on in pieces.
     */
    public ResponseReader(int most, boolean mayPass) {
        this.most = most;
        this.mayPass = mayPass;
    }

    /**
     * Takes what has come; whether the answer is whole. What is left in the buffer then is not its
     * own. It leaves the rest of one that is too long to be held.
     */
    public boolean read(ByteBuffer from) throws IOException {
        while (!isLong()) {
            ByteBuffer piece = piece(from);
            if (piece == null) {
                return part == Part.WHOLE;
            }
            hold(piece);
        }
        return false;
    }

    private void hold(ByteBuffer piece) throws IOException {
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        body.writeBytes(bytes);
        require(
                body.size() <= most || (mayPass && status == BackendResponse.OK),
                "over " + most + " bytes");
    }

    /**
     * The next piece of the body out of what has come; null where more must come first, or it is
     * whole.
     */
    public ByteBuffer piece(ByteBuffer from) throws IOException {
        while (part != Part.WHOLE && from.hasRemaining()) {
            if (part == Part.BODY || part == Part.CHUNK || part == Part.TO_THE_END) {
                int count =
                        part == Part.TO_THE_END
                                ? from.remaining()
                                : Math.min(left, from.remaining());
                came += count;
                require(came <= LONGEST, "over " + LONGEST + " bytes");
                ByteBuffer piece = from.slice(from.position(), count);
                from.position(from.position() + count);
                left -= part == Part.TO_THE_END ? 0 : count;
                if (left == 0 && part != Part.TO_THE_END) {
                    part = part == Part.BODY ? Part.WHOLE : Part.CHUNK_END;
                }
                return piece;
            }
            String text = line(from);
            if (text != null) {
                next(text);
            }
        }
        return null;
    }

    /** Whether it is too long to be held, so that it has to be passed on in pieces. */
    public boolean isLong() {
        return passed || declared > most || body.size() > most;
    }

    /** Whether nobody can say how long it will be; its head is in. */
    boolean isEndless() {
        return status == BackendResponse.OK
                && declared < 0
                && part.compareTo(Part.FIELDS) > 0
                && part != Part.WHOLE;
    }

    /** It is passed on whatever its length. */
    void pass() {
        passed = true;
    }

    public boolean isWhole() {
        return part == Part.WHOLE;
    }

    /** The connection's end, which has come, was the answer's. */
    void ended() {
        part = Part.WHOLE;
    }

    /** The length that its head tells; -1 where it tells none. */
    int declared() {
        return declared;
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

    public BackendResponse answer() {
        return new BackendResponse(status, headers, body.toByteArray(), true, false, null);
    }

    /** What of it was held, and whoever has the rest. */
    public BackendResponse begun(ResponseRemainder rest) {
        return new BackendResponse(status, headers, body.toByteArray(), true, false, rest);
    }

    /** The next line without its end; null until it has come. */
    private String line(ByteBuffer from) throws IOException {
        while (from.hasRemaining()) {
            char c = (char) (from.get() & 0xFF);
            // Danger: lines without end between chunks would hold a connection as a head without
            // end does.
            boolean inHead = part == Part.STATUS || part == Part.FIELDS;
            if ((inHead ? ++inHeads : ++inChunks) > HttpFieldRules.MOST) {
                throw new IOException("a head of over " + HttpFieldRules.MOST + " bytes");
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
                require(
                        (old || text.startsWith("HTTP/1.1 "))
                                && text.length() >= 12
                                && HttpFieldRules.isValue(text)
                                && (text.length() == 12 || text.charAt(12) == ' '),
                        text);
                status = HttpFieldRules.number(text.substring(9, 12), 3);
                require(status >= 100 && status < 600, text);
                part = Part.FIELDS;
            }
            case FIELDS -> {
                if (text.isEmpty()) {
                    framing();
                } else {
                    int colon = text.indexOf(':');
                    String name = text.substring(0, Math.max(0, colon));
                    require(HttpFieldRules.isToken(name) && HttpFieldRules.isValue(text), text);
                    headers.add(new HttpString(name), text.substring(colon + 1).strip());
                }
            }
            case CHUNK_SIZE -> {
                Matcher size = CHUNK.matcher(text);
                require(size.matches(), text);
                left = Integer.parseInt(size.group(1), 16);
                require(left <= LONGEST - came, text);
                inChunks = 0;
                part = left == 0 ? Part.TRAILER : Part.CHUNK;
            }
            case CHUNK_END -> {
                require(text.isEmpty(), text);
                part = Part.CHUNK_SIZE;
            }
            default -> part = text.isEmpty() ? Part.WHOLE : part;
        }
    }

    /**
     * Danger: framing that can be read in two ways would pass a part for the whole, or the next
     * answer's.
     */
    private void framing() throws IOException {
        HeaderValues codings = headers.get(Headers.TRANSFER_ENCODING);
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        if (status < 200) {
            require(status != 101, "an upgrade");
            headers = new HeaderMap();
            part = Part.STATUS;
        } else if (codings != null) {
            require(
                    lengths == null
                            && codings.size() == 1
                            && codings.getFirst().equalsIgnoreCase("chunked")
                            && !old,
                    codings);
            part = Part.CHUNK_SIZE;
        } else if (lengths != null) {
            // Danger: one of 3 GB is known to be too long here, and would come for as long as it is
            // read.
            declared = left = HttpFieldRules.number(lengths.getFirst(), 9);
            boolean passes = mayPass && status == BackendResponse.OK;
            require(lengths.size() == 1 && left >= 0 && left <= (passes ? LONGEST : most), lengths);
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
