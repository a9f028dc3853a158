package lemondrift.lab.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * One connection on which HTTP/1.1 messages with a stated length come and go, of either side. The
 * stand's own ends alone speak so; what the proxies make of odd messages is for their own tests.
 * I/O thread only.
 */
final class HttpConnection {
    /** Who hears what comes. */
    interface Hearer {
        /** A whole message: its first line and fields as they came, and its body. */
        void heard(HttpConnection talk, String head, byte[] body);

        /**
         * The connection has ended, by the other side or by a failure; told once, not after close.
         */
        void ended(HttpConnection talk);
    }

    private static final byte[] END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int MOST_HEAD = 16_384;
    private static final int MOST_BODY = 1 << 20;
    private static final OptionMap NO_DELAY = OptionMap.create(Options.TCP_NODELAY, true);

    private final StreamConnection connection;
    private final Hearer hearer;
    private final ByteBuffer buffer = ByteBuffer.allocate(8192);
    private final ByteArrayOutputStream come = new ByteArrayOutputStream();
    private ByteBuffer out;
    private boolean over;

    /** Whether a message has come on it, and so whether its end may have crossed a request. */
    boolean used;

    HttpConnection(StreamConnection connection, Hearer hearer) {
        this.connection = connection;
        this.hearer = hearer;
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.setReadListener(channel -> reads());
        connection.getSinkChannel().setWriteListener(channel -> writes());
        connection.setCloseListener(channel -> ends());
        source.resumeReads();
    }

    /** Opens one; who asked is told of it, or gets null where it can't be had. */
    static void open(
            XnioIoThread io, InetSocketAddress to, Hearer hearer, Consumer<HttpConnection> then) {
        IoFuture<StreamConnection> future =
                io.openStreamConnection(
                        to,
                        connection -> then.accept(new HttpConnection(connection, hearer)),
                        NO_DELAY);
        future.addNotifier(
                (its, nothing) -> {
                    if (its.getStatus() != IoFuture.Status.DONE) {
                        tellsNone(io, then);
                    }
                },
                null);
    }

    private static void tellsNone(XnioIoThread io, Consumer<HttpConnection> then) {
        try {
            io.execute(() -> then.accept(null));
        } catch (RejectedExecutionException e) {
            // The testbed closes, and nobody waits for it any more.
        }
    }

    private void reads() {
        try {
            ConduitStreamSourceChannel source = connection.getSourceChannel();
            int got = source.read(buffer);
            for (; got > 0; got = source.read(buffer)) {
                come.write(buffer.array(), 0, buffer.position());
                buffer.clear();
            }
            whole();
            if (got < 0) {
                ends();
            }
        } catch (IOException e) {
            ends();
        }
    }

    /** Hands on each message that has come whole. */
    private void whole() throws IOException {
        while (!over) {
            byte[] all = come.toByteArray();
            int end = head(all);
            if (end < 0) {
                return;
            }
            String head = new String(all, 0, end, StandardCharsets.ISO_8859_1);
            String length = field(head, "content-length");
            int size = length == null ? 0 : Integer.parseInt(length);
            if (size > MOST_BODY) {
                throw new IOException("a body of " + size + " bytes");
            }
            if (all.length < end + END.length + size) {
                return;
            }
            byte[] body = new byte[size];
            System.arraycopy(all, end + END.length, body, 0, size);
            come.reset();
            come.write(all, end + END.length + size, all.length - end - END.length - size);
            used = true;
            hearer.heard(this, head, body);
        }
    }

    /** Where the head ends, or -1. */
    private static int head(byte[] all) throws IOException {
        for (int i = 0; i + END.length <= all.length; i++) {
            if (all[i] == '\r' && all[i + 1] == '\n' && all[i + 2] == '\r' && all[i + 3] == '\n') {
                return i;
            }
        }
        if (all.length > MOST_HEAD) {
            throw new IOException("a head without an end");
        }
        return -1;
    }

    /** A field of a head by its name in small letters; null where there is none. */
    static String field(String head, String name) {
        for (int at = head.indexOf("\r\n"); at >= 0; at = head.indexOf("\r\n", at + 2)) {
            int colon = head.indexOf(':', at);
            if (colon > 0 && head.substring(at + 2, colon).toLowerCase(Locale.ROOT).equals(name)) {
                int end = head.indexOf("\r\n", colon);
                return head.substring(colon + 1, end < 0 ? head.length() : end).strip();
            }
        }
        return null;
    }

    /** A message with these first lines, without the empty one, and a body. */
    static byte[] message(String head, byte[] body) {
        byte[] first =
                (head + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[first.length + body.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        return all;
    }

    void write(byte[] message) {
        if (over) {
            return;
        }
        ByteBuffer more = ByteBuffer.allocate((out == null ? 0 : out.remaining()) + message.length);
        if (out != null) {
            more.put(out);
        }
        out = more.put(message).flip();
        writes();
    }

    private void writes() {
        ConduitStreamSinkChannel sink = connection.getSinkChannel();
        try {
            while (out != null && out.hasRemaining()) {
                if (sink.write(out) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            out = null;
            sink.suspendWrites();
        } catch (IOException e) {
            ends();
        }
    }

    private void ends() {
        if (!over) {
            close();
            hearer.ended(this);
        }
    }

    boolean isOpen() {
        return !over;
    }

    void close() {
        over = true;
        IoUtils.safeClose(connection);
    }
}
