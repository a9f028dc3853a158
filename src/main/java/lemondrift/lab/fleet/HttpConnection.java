package lemondrift.lab.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A client or server connection that carries HTTP/1.1 messages with a Content-Length. Only the
 * testbed's own clients, backends and discovery agents use it, so it supports only the part of HTTP
 * that they need. I/O thread only.
 */
final class HttpConnection {
    /** Receives the events of a connection. */
    interface Listener {
        /**
         * Called when a complete message has arrived.
         *
         * @param head the start line and header fields as received, without the final empty line
         */
        void onMessage(HttpConnection connection, String head, byte[] body);

        /**
         * Called when the other side has closed the connection or it has failed; not called after
         * {@link #close}.
         */
        void onClosed(HttpConnection connection);
    }

    private static final byte[] END_OF_HEAD = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** The size of the buffer for one read. */
    private static final int READ_BUFFER_BYTES = 8192;

    /** A longer head closes the connection. */
    private static final int MAX_HEAD_BYTES = 16_384;

    /** A longer body closes the connection. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** Used when nothing is unsent; it can be shared because it has no bytes. */
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private static final OptionMap NO_DELAY = OptionMap.create(Options.TCP_NODELAY, true);

    private final StreamConnection stream;
    private final Listener listener;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private ByteBuffer unsent = EMPTY;
    private boolean closed;
    private boolean messageReceived;

    /** Starts to read from an established connection. */
    HttpConnection(StreamConnection stream, Listener listener) {
        this.stream = stream;
        this.listener = listener;
        ConduitStreamSourceChannel source = stream.getSourceChannel();
        source.setReadListener(channel -> read());
        stream.getSinkChannel().setWriteListener(channel -> flush());
        stream.setCloseListener(channel -> closeAndNotify());
        source.resumeReads();
    }

    /**
     * Opens a connection to a server. The callback receives the connection on the I/O thread, or an
     * empty optional if it cannot be established.
     */
    static void open(
            XnioIoThread ioThread,
            InetSocketAddress server,
            Listener listener,
            Consumer<Optional<HttpConnection>> callback) {
        IoFuture<StreamConnection> future =
                ioThread.openStreamConnection(
                        server,
                        stream ->
                                callback.accept(Optional.of(new HttpConnection(stream, listener))),
                        NO_DELAY);
        future.addNotifier(
                (result, attachment) -> {
                    if (result.getStatus() != IoFuture.Status.DONE) {
                        reportFailure(ioThread, callback);
                    }
                },
                null);
    }

    private static void reportFailure(
            XnioIoThread ioThread, Consumer<Optional<HttpConnection>> callback) {
        try {
            ioThread.execute(() -> callback.accept(Optional.empty()));
        } catch (RejectedExecutionException e) {
            // The testbed is closing, so the result is no longer needed.
        }
    }

    /**
     * Listens on an address and passes each accepted connection to a callback on the I/O thread.
     *
     * @throws IOException if the address cannot be bound
     */
    static AcceptingChannel<StreamConnection> listen(
            XnioWorker worker,
            InetSocketAddress address,
            OptionMap options,
            Consumer<StreamConnection> onAccept)
            throws IOException {
        AcceptingChannel<StreamConnection> server =
                worker.createStreamConnectionServer(
                        address,
                        ChannelListeners.openListenerAdapter(stream -> onAccept.accept(stream)),
                        options);
        server.resumeAccepts();
        return server;
    }

    private void read() {
        try {
            ConduitStreamSourceChannel source = stream.getSourceChannel();
            int count = source.read(readBuffer);
            for (; count > 0; count = source.read(readBuffer)) {
                received.write(readBuffer.array(), 0, readBuffer.position());
                readBuffer.clear();
            }
            deliverCompleteMessages();
            if (count < 0) {
                closeAndNotify();
            }
        } catch (IOException e) {
            closeAndNotify();
        }
    }

    private void deliverCompleteMessages() throws IOException {
        while (!closed) {
            byte[] bytes = received.toByteArray();
            OptionalInt headEnd = findHeadEnd(bytes);
            if (headEnd.isEmpty()) {
                return;
            }
            String head = new String(bytes, 0, headEnd.getAsInt(), StandardCharsets.ISO_8859_1);
            int bodyStart = headEnd.getAsInt() + END_OF_HEAD.length;
            int bodyLength = parseBodyLength(head);
            if (bytes.length < bodyStart + bodyLength) {
                return;
            }
            byte[] body = new byte[bodyLength];
            System.arraycopy(bytes, bodyStart, body, 0, bodyLength);
            int messageEnd = bodyStart + bodyLength;
            received.reset();
            received.write(bytes, messageEnd, bytes.length - messageEnd);
            messageReceived = true;
            listener.onMessage(this, head, body);
        }
    }

    private static int parseBodyLength(String head) throws IOException {
        int length = findField(head, "content-length").map(Integer::parseInt).orElse(0);
        if (length > MAX_BODY_BYTES) {
            throw new IOException(
                    "the body has "
                            + length
                            + " bytes, at most "
                            + MAX_BODY_BYTES
                            + " are allowed");
        }
        return length;
    }

    private static OptionalInt findHeadEnd(byte[] bytes) throws IOException {
        for (int i = 0; i + END_OF_HEAD.length <= bytes.length; i++) {
            if (bytes[i] == '\r'
                    && bytes[i + 1] == '\n'
                    && bytes[i + 2] == '\r'
                    && bytes[i + 3] == '\n') {
                return OptionalInt.of(i);
            }
        }
        if (bytes.length > MAX_HEAD_BYTES) {
            throw new IOException("the head has no end within " + MAX_HEAD_BYTES + " bytes");
        }
        return OptionalInt.empty();
    }

    /**
     * Returns the value of a header field, found by its name in lower case; empty if the head has
     * no such field.
     */
    static Optional<String> findField(String head, String name) {
        for (int lineEnd = head.indexOf("\r\n");
                lineEnd >= 0;
                lineEnd = head.indexOf("\r\n", lineEnd + 2)) {
            int colon = head.indexOf(':', lineEnd);
            if (colon > 0
                    && head.substring(lineEnd + 2, colon).toLowerCase(Locale.ROOT).equals(name)) {
                int valueEnd = head.indexOf("\r\n", colon);
                int end = valueEnd < 0 ? head.length() : valueEnd;
                return Optional.of(head.substring(colon + 1, end).strip());
            }
        }
        return Optional.empty();
    }

    /**
     * Encodes a message and adds its Content-Length.
     *
     * @param head the start line and header fields without the final empty line
     */
    static byte[] encodeMessage(String head, byte[] body) {
        byte[] headBytes =
                (head + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, message, 0, headBytes.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }

    /**
     * Sends a message after those that are not sent yet; does nothing if the connection is closed.
     */
    void write(byte[] message) {
        if (closed) {
            return;
        }
        unsent =
                ByteBuffer.allocate(unsent.remaining() + message.length)
                        .put(unsent)
                        .put(message)
                        .flip();
        flush();
    }

    private void flush() {
        ConduitStreamSinkChannel sink = stream.getSinkChannel();
        try {
            while (unsent.hasRemaining()) {
                if (sink.write(unsent) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            unsent = EMPTY;
            sink.suspendWrites();
        } catch (IOException e) {
            closeAndNotify();
        }
    }

    private void closeAndNotify() {
        if (!closed) {
            close();
            listener.onClosed(this);
        }
    }

    /**
     * Returns whether a message has been received on the connection. If so, the other side may
     * close it as idle while a request is being sent on it.
     */
    boolean hasReceivedMessage() {
        return messageReceived;
    }

    boolean isOpen() {
        return !closed;
    }

    void close() {
        closed = true;
        IoUtils.safeClose(stream);
    }
}
