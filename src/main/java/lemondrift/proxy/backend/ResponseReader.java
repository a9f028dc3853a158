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
 * Reads one HTTP/1.x response as it comes; what cannot be read in one way only is an IOException.
 * UndertowClient is not strict enough: it takes any 1xx but 100 for the response, the first of two
 * lengths for the length, and keeps what lies beyond a response for the next one.
 */
public final class ResponseReader {
    /** What comes next of the response. */
    private enum Part {
        STATUS_LINE,
        FIELDS,
        BODY_OF_KNOWN_LENGTH,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        BODY_UNTIL_CLOSE,
        /** Nothing: the response is complete. */
        NOTHING
    }

    /** A chunk's size in hexadecimal digits, and perhaps extensions. */
    private static final Pattern CHUNK_SIZE_LINE =
            Pattern.compile("([0-9A-Fa-f]{1,7})[ \\t]*(;.*)?");

    /** Bytes of the longest body that is streamed; a longer one is an error. */
    private static final int MAX_STREAMED_BYTES = 64 << 20;

    /** Digits of the longest Content-Length that is read; a longer one is an error. */
    private static final int MAX_LENGTH_DIGITS = 9;

    /** Where the digits of the status begin and end in a status line. */
    private static final int STATUS_START = 9;

    private static final int STATUS_END = 12;

    private final int maxBufferedBytes;
    private final boolean mayStream;
    private final StringBuilder line = new StringBuilder(80);
    private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream(512);
    private Part nextPart = Part.STATUS_LINE;
    private HeaderMap headers = new HeaderMap();
    private boolean isHttp10;
    private int status;

    /** Bytes of all heads, those of 1xx responses too. */
    private int headBytes;

    /** Bytes of lines between chunks since the last chunk's size. */
    private int chunkLineBytes;

    /** Bytes left of the chunk, or of a body whose length is known. */
    private int bytesLeft;

    /** The Content-Length of the body; -1 where the head states none. */
    private int contentLength = -1;

    private long bodyBytes;
    private boolean streamingForced;

    /**
     * A reader of one response.
     *
     * @param maxBufferedBytes of a body that is buffered; heads and lines between chunks have a
     *     bound of their own, {@link HttpFieldRules#MAX_HEAD_BYTES}
     * @param mayStream whether a longer body of a 200 may be streamed; else it is an error
     */
    public ResponseReader(int maxBufferedBytes, boolean mayStream) {
        this.maxBufferedBytes = maxBufferedBytes;
        this.mayStream = mayStream;
    }

    /**
     * Buffers what has come; returns whether the response is complete. What is left in the source
     * then does not belong to it. Stops, with the rest left in the source, where the body is too
     * long to be buffered.
     *
     * @throws IOException where the response cannot be read, or not in one way only
     */
    public boolean read(ByteBuffer source) throws IOException {
        while (!isTooLongToBuffer()) {
            ByteBuffer piece = nextPiece(source);
            if (piece == null) {
                return isComplete();
            }
            buffer(piece);
        }
        return false;
    }

    private void buffer(ByteBuffer piece) throws IOException {
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        bufferedBody.writeBytes(bytes);
        require(
                bufferedBody.size() <= maxBufferedBytes || isStreamable(),
                "over " + maxBufferedBytes + " bytes");
    }

    private boolean isStreamable() {
        return mayStream && status == BackendResponse.OK;
    }

    /**
     * Takes the next piece of the body out of what has come; null where more must come first, or
     * the response is complete.
     *
     * @throws IOException where the response cannot be read, or not in one way only
     */
    public ByteBuffer nextPiece(ByteBuffer source) throws IOException {
        while (nextPart != Part.NOTHING && source.hasRemaining()) {
            if (nextPart == Part.BODY_OF_KNOWN_LENGTH || nextPart == Part.CHUNK) {
                ByteBuffer piece = takePiece(source, Math.min(bytesLeft, source.remaining()));
                bytesLeft -= piece.remaining();
                if (bytesLeft == 0) {
                    nextPart = nextPart == Part.CHUNK ? Part.CHUNK_END : Part.NOTHING;
                }
                return piece;
            }
            if (nextPart == Part.BODY_UNTIL_CLOSE) {
                return takePiece(source, source.remaining());
            }
            String completeLine = readLine(source);
            if (completeLine != null) {
                parseLine(completeLine);
            }
        }
        return null;
    }

    private ByteBuffer takePiece(ByteBuffer source, int count) throws IOException {
        bodyBytes += count;
        require(bodyBytes <= MAX_STREAMED_BYTES, "over " + MAX_STREAMED_BYTES + " bytes");
        ByteBuffer piece = source.slice(source.position(), count);
        source.position(source.position() + count);
        return piece;
    }

    /** Whether the body is too long to be buffered, or must be streamed for another reason. */
    public boolean isTooLongToBuffer() {
        return streamingForced
                || contentLength > maxBufferedBytes
                || bufferedBody.size() > maxBufferedBytes;
    }

    /** Whether the head of a 200 is complete, its body is not, and its length is not known. */
    boolean isLengthUnknown() {
        return status == BackendResponse.OK
                && contentLength < 0
                && nextPart != Part.STATUS_LINE
                && nextPart != Part.FIELDS
                && nextPart != Part.NOTHING;
    }

    /** From now on the body is streamed, however long it is. */
    void forceStreaming() {
        streamingForced = true;
    }

    /** Whether the whole response has been read. */
    public boolean isComplete() {
        return nextPart == Part.NOTHING;
    }

    /** The Content-Length of the body; -1 where the head states none. */
    int contentLength() {
        return contentLength;
    }

    /** Whether the end of the connection, if it came now, would be the end of the response. */
    boolean endsAtConnectionClose() {
        return nextPart == Part.BODY_UNTIL_CLOSE;
    }

    /** The connection has ended, and the response with it. */
    void connectionClosed() {
        nextPart = Part.NOTHING;
    }

    /** Whether the connection cannot be used again after the response. */
    boolean closesConnection() {
        String connection = headers.getFirst(Headers.CONNECTION);
        return connection == null ? isHttp10 : !connection.equalsIgnoreCase("keep-alive");
    }

    /** The response, buffered whole. */
    public BackendResponse bufferedResponse() {
        return streamedResponse(null);
    }

    /** The response with the beginning of its body, and who has the remainder. */
    public BackendResponse streamedResponse(ResponseRemainder remainder) {
        return BackendResponse.received(status, headers, bufferedBody.toByteArray(), remainder);
    }

    /** The next line without its end; null until it has come. */
    private String readLine(ByteBuffer source) throws IOException {
        while (source.hasRemaining()) {
            char character = (char) (source.get() & 0xFF);
            // Guards against lines without an end, in the head or between chunks.
            boolean inHead = nextPart == Part.STATUS_LINE || nextPart == Part.FIELDS;
            int lineBytes = inHead ? ++headBytes : ++chunkLineBytes;
            if (lineBytes > HttpFieldRules.MAX_HEAD_BYTES) {
                throw new IOException("a head of over " + HttpFieldRules.MAX_HEAD_BYTES + " bytes");
            }
            if (character == '\n') {
                int end = line.length() - 1;
                require(end >= 0 && line.charAt(end) == '\r', line);
                String completeLine = line.substring(0, end);
                line.setLength(0);
                return completeLine;
            }
            line.append(character);
        }
        return null;
    }

    private void parseLine(String completeLine) throws IOException {
        switch (nextPart) {
            case STATUS_LINE -> parseStatus(completeLine);
            case FIELDS -> {
                if (completeLine.isEmpty()) {
                    chooseFraming();
                } else {
                    parseField(completeLine);
                }
            }
            case CHUNK_SIZE -> parseChunkSize(completeLine);
            case CHUNK_END -> {
                require(completeLine.isEmpty(), completeLine);
                nextPart = Part.CHUNK_SIZE;
            }
            default -> nextPart = completeLine.isEmpty() ? Part.NOTHING : nextPart;
        }
    }

    private void parseStatus(String statusLine) throws IOException {
        isHttp10 = statusLine.startsWith("HTTP/1.0 ");
        require(
                (isHttp10 || statusLine.startsWith("HTTP/1.1 "))
                        && statusLine.length() >= STATUS_END
                        && HttpFieldRules.isFieldValue(statusLine)
                        && (statusLine.length() == STATUS_END
                                || statusLine.charAt(STATUS_END) == ' '),
                statusLine);
        status =
                HttpFieldRules.parseNumber(
                        statusLine.substring(STATUS_START, STATUS_END), STATUS_END - STATUS_START);
        require(status >= 100 && status < 600, statusLine);
        nextPart = Part.FIELDS;
    }

    private void parseField(String field) throws IOException {
        int colon = field.indexOf(':');
        String name = field.substring(0, Math.max(0, colon));
        require(HttpFieldRules.isToken(name) && HttpFieldRules.isFieldValue(field), field);
        headers.add(new HttpString(name), field.substring(colon + 1).strip());
    }

    private void parseChunkSize(String sizeLine) throws IOException {
        Matcher size = CHUNK_SIZE_LINE.matcher(sizeLine);
        require(size.matches(), sizeLine);
        bytesLeft = Integer.parseInt(size.group(1), 16);
        require(bytesLeft <= MAX_STREAMED_BYTES - bodyBytes, sizeLine);
        chunkLineBytes = 0;
        nextPart = bytesLeft == 0 ? Part.TRAILER : Part.CHUNK;
    }

    /**
     * Decides from a complete head where the body ends. Guards against framing that can be read in
     * two ways, which would pass off a part as the whole, or the next response as part of this one.
     */
    private void chooseFraming() throws IOException {
        HeaderValues codings = headers.get(Headers.TRANSFER_ENCODING);
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        if (status < 200) {
            require(status != 101, "an upgrade");
            headers = new HeaderMap();
            nextPart = Part.STATUS_LINE;
        } else if (codings != null) {
            require(
                    lengths == null
                            && codings.size() == 1
                            && codings.getFirst().equalsIgnoreCase("chunked")
                            && !isHttp10,
                    codings);
            nextPart = Part.CHUNK_SIZE;
        } else if (lengths != null) {
            startBodyOfKnownLength(lengths);
        } else if (status == 204 || status == 304) {
            nextPart = Part.NOTHING;
        } else {
            require(closesConnection(), "a response without a length");
            nextPart = Part.BODY_UNTIL_CLOSE;
        }
    }

    private void startBodyOfKnownLength(HeaderValues lengths) throws IOException {
        contentLength = HttpFieldRules.parseNumber(lengths.getFirst(), MAX_LENGTH_DIGITS);
        bytesLeft = contentLength;
        // Guards against a body that is known to be too long and would be read to the bound.
        int maxBytes = isStreamable() ? MAX_STREAMED_BYTES : maxBufferedBytes;
        require(lengths.size() == 1 && bytesLeft >= 0 && bytesLeft <= maxBytes, lengths);
        nextPart = bytesLeft == 0 ? Part.NOTHING : Part.BODY_OF_KNOWN_LENGTH;
    }

    private static void require(boolean condition, Object detail) throws IOException {
        if (!condition) {
            throw new IOException("a response that cannot be read: " + detail);
        }
    }
}
