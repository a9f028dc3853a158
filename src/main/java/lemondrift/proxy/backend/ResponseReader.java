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
 * Parses one HTTP/1.x response as it arrives; a response that is malformed or can be interpreted in
 * more than one way causes an IOException. UndertowClient is not strict enough: it takes any 1xx
 * except 100 for the final response, uses the first of two Content-Length fields, and keeps the
 * bytes after a response for the next one.
 */
public final class ResponseReader {
    /** The parts of a response, to track which one is expected next. */
    private enum Part {
        STATUS_LINE,
        FIELDS,
        BODY_OF_KNOWN_LENGTH,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        BODY_UNTIL_CLOSE,
        /** No part: the response is complete. */
        NOTHING
    }

    /** A chunk's size in hexadecimal digits, with optional extensions. */
    private static final Pattern CHUNK_SIZE_LINE =
            Pattern.compile("([0-9A-Fa-f]{1,7})[ \\t]*(;.*)?");

    /** The length of the longest body that is streamed; a longer one is an error. */
    private static final int MAX_STREAMED_BYTES = 64 << 20;

    /** The maximum number of digits of a Content-Length; a longer one is an error. */
    private static final int MAX_LENGTH_DIGITS = 9;

    /** The indexes at which the digits of the status start and end in a status line. */
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

    /** The bytes of all heads so far, including those of 1xx responses. */
    private int headBytes;

    /** The bytes of lines outside of chunks since the last chunk's size line. */
    private int chunkLineBytes;

    /** The bytes left of the current chunk, or of a body whose length is known. */
    private int bytesLeft;

    /** The Content-Length of the body; -1 if the head states none. */
    private int contentLength = -1;

    private long bodyBytes;
    private boolean streamingForced;

    /**
     * Creates a reader of one response.
     *
     * @param maxBufferedBytes the maximum length of a buffered body; heads and lines between chunks
     *     have their own limit, {@link HttpFieldRules#MAX_HEAD_BYTES}
     * @param mayStream whether a longer body of a 200 may be streamed; otherwise it is an error
     */
    public ResponseReader(int maxBufferedBytes, boolean mayStream) {
        this.maxBufferedBytes = maxBufferedBytes;
        this.mayStream = mayStream;
    }

    /**
     * Parses the bytes that have arrived and buffers the body. Bytes that are left in the source
     * after the response is complete do not belong to it. Stops if the body is too long to be
     * buffered, and leaves the remaining bytes in the source.
     *
     * @return whether the response is complete
     * @throws IOException if the response is malformed, ambiguous or too long
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
                "the body exceeds " + maxBufferedBytes + " bytes");
    }

    private boolean isStreamable() {
        return mayStream && status == BackendResponse.OK;
    }

    /**
     * Takes the next piece of the body out of the bytes that have arrived.
     *
     * @return the piece, which shares the source's memory; null if more bytes must arrive first or
     *     the response is complete
     * @throws IOException if the response is malformed, ambiguous or too long
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
        require(
                bodyBytes <= MAX_STREAMED_BYTES,
                "the body exceeds " + MAX_STREAMED_BYTES + " bytes");
        ByteBuffer piece = source.slice(source.position(), count);
        source.position(source.position() + count);
        return piece;
    }

    /** Returns whether the body must be streamed: too long to be buffered, or forced to stream. */
    public boolean isTooLongToBuffer() {
        return streamingForced
                || contentLength > maxBufferedBytes
                || bufferedBody.size() > maxBufferedBytes;
    }

    /** Returns whether the head of a 200 is complete, but not its body, whose length is unknown. */
    boolean isLengthUnknown() {
        return status == BackendResponse.OK
                && contentLength < 0
                && nextPart != Part.STATUS_LINE
                && nextPart != Part.FIELDS
                && nextPart != Part.NOTHING;
    }

    /** Makes the body be streamed from now on, regardless of its length. */
    void forceStreaming() {
        streamingForced = true;
    }

    /** Returns whether the complete response has been read. */
    public boolean isComplete() {
        return nextPart == Part.NOTHING;
    }

    /** Returns the Content-Length of the body; -1 if the head states none. */
    int contentLength() {
        return contentLength;
    }

    /** Returns whether the body ends when the backend closes the connection. */
    boolean endsAtConnectionClose() {
        return nextPart == Part.BODY_UNTIL_CLOSE;
    }

    /** Completes the response, as its end is the close of the connection. */
    void connectionClosed() {
        nextPart = Part.NOTHING;
    }

    /** Returns whether the connection can't be reused after the response. */
    boolean closesConnection() {
        String connection = headers.getFirst(Headers.CONNECTION);
        return connection == null ? isHttp10 : !connection.equalsIgnoreCase("keep-alive");
    }

    /** Returns the response with its complete, buffered body. */
    public BackendResponse bufferedResponse() {
        return streamedResponse(null);
    }

    /**
     * Returns the response with the buffered beginning of its body.
     *
     * @param remainder the source of the rest of the body; null if the body is complete
     */
    public BackendResponse streamedResponse(ResponseRemainder remainder) {
        return BackendResponse.received(status, headers, bufferedBody.toByteArray(), remainder);
    }

    /** Returns the next line without its CRLF; null until it has arrived completely. */
    private String readLine(ByteBuffer source) throws IOException {
        while (source.hasRemaining()) {
            char character = (char) (source.get() & 0xFF);
            // Guards against endless lines in the head or between chunks.
            boolean inHead = nextPart == Part.STATUS_LINE || nextPart == Part.FIELDS;
            int lineBytes = inHead ? ++headBytes : ++chunkLineBytes;
            if (lineBytes > HttpFieldRules.MAX_HEAD_BYTES) {
                throw new IOException(
                        "invalid response: the head or the lines between chunks exceed "
                                + HttpFieldRules.MAX_HEAD_BYTES
                                + " bytes");
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
     * Determines from a complete head where the body ends. Guards against ambiguous framing, which
     * would make part of a response look complete, or add the next response to this one.
     */
    private void chooseFraming() throws IOException {
        HeaderValues codings = headers.get(Headers.TRANSFER_ENCODING);
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        if (status < 200) {
            require(status != 101, "status 101, but no upgrade was requested");
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
            require(closesConnection(), "a body without a length on a kept-alive connection");
            nextPart = Part.BODY_UNTIL_CLOSE;
        }
    }

    private void startBodyOfKnownLength(HeaderValues lengths) throws IOException {
        contentLength = HttpFieldRules.parseNumber(lengths.getFirst(), MAX_LENGTH_DIGITS);
        bytesLeft = contentLength;
        // Guards against reading a body up to the limit although it is known to be too long.
        int maxBytes = isStreamable() ? MAX_STREAMED_BYTES : maxBufferedBytes;
        require(lengths.size() == 1 && bytesLeft >= 0 && bytesLeft <= maxBytes, lengths);
        nextPart = bytesLeft == 0 ? Part.NOTHING : Part.BODY_OF_KNOWN_LENGTH;
    }

    private static void require(boolean condition, Object detail) throws IOException {
        if (!condition) {
            throw new IOException("invalid response: " + detail);
        }
    }
}
