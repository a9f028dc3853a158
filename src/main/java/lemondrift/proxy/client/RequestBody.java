package lemondrift.proxy.client;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import lemondrift.buffer.BodyBufferBudget;
import lemondrift.proxy.events.StreamedRequestBody;
import org.xnio.channels.StreamSourceChannel;

/**
 * A request's body as it comes: held as long as it may be, then given on piece by piece, in chunks
 * where nobody tells its length. I/O thread only.
 */
public final class RequestBody implements StreamedRequestBody {
    /** Who hears what becomes of it. */
    interface Hearer {
        /** All of it has come and is held. */
        void held(byte[] body);

        /** It can't be held to its end and is to be passed on. */
        void passes(RequestBody streamedBody);

        /** The last byte of one that is passed on has come. */
        void whole();

        /** A byte was given on that is not held. */
        void letGo();

        /** It can't be read, or is longer than any may be. */
        void failed(boolean tooLong);
    }

    private static final ByteBuffer END = ByteBuffer.wrap(new byte[] {'\r', '\n'});

    private final StreamSourceChannel channel;
    private final BodyBufferBudget bufferBudget;
    private final ByteBufferPool buffers;
    private final long longest;
    private final Hearer hearer;

    /** How long a backend may take nothing of it. */
    private final double stallTimeoutSeconds;

    private final boolean chunked;
    private final Deque<ByteBuffer> next = new ArrayDeque<>();

    /**
     * How many seconds there are for the answer from the last byte on; set when it is passed on.
     */
    private double responseTimeoutSeconds;

    private byte[] held = {};
    private int count;
    private long came;

    /**
     * What has come and is not held. Danger: one of a pool might be given away while it is still
     * written.
     */
    private ByteBuffer loose;

    private boolean beyond;
    private boolean ended;
    private boolean given;
    private boolean failed;
    private Runnable released = () -> {};

    RequestBody(
            HttpServerExchange client,
            BodyBufferBudget bufferBudget,
            ByteBufferPool buffers,
            long longest,
            double stall,
            Hearer hearer) {
        this.stallTimeoutSeconds = stall;
        channel = client.getRequestChannel();
        chunked = client.getRequestContentLength() < 0;
        this.bufferBudget = bufferBudget;
        this.buffers = buffers;
        this.longest = longest;
        this.hearer = hearer;
    }

    /** Reads until all is held, or as much as may be. */
    void hold() {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int got = channel.read(buffer.clear());
                    got != 0;
                    got = channel.read(buffer.clear())) {
                if (got < 0) {
                    ended = true;
                    hearer.held(count == held.length ? held : Arrays.copyOf(held, count));
                    return;
                }
                came += got;
                buffer.flip();
                if (!bufferBudget.takes(count, got)) {
                    loose = ByteBuffer.allocate(buffer.capacity()).put(buffer).flip();
                    channel.suspendReads();
                    hearer.passes(this);
                    return;
                }
                held =
                        count + got <= held.length
                                ? held
                                : Arrays.copyOf(held, Math.max(count + got, 2 * held.length));
                buffer.get(held, count, got);
                count += got;
            }
            channel.getReadSetter().set(source -> hold());
            channel.resumeReads();
        } catch (IOException | RuntimeException e) {
            fail(false);
        }
    }

    @Override
    public double stallTimeoutSeconds() {
        return stallTimeoutSeconds;
    }

    @Override
    public double responseTimeoutSeconds() {
        return responseTimeoutSeconds;
    }

    void setResponseTimeoutSeconds(double seconds) {
        responseTimeoutSeconds = seconds;
    }

    @Override
    public boolean isChunked() {
        return chunked;
    }

    @Override
    public boolean restart() {
        if (beyond) {
            return false;
        }
        next.clear();
        given = false;
        if (count > 0) {
            give(ByteBuffer.wrap(held, 0, count).slice());
        }
        return true;
    }

    private void give(ByteBuffer piece) {
        if (chunked) {
            next.add(
                    ByteBuffer.wrap(
                            (Integer.toHexString(piece.remaining()) + "\r\n")
                                    .getBytes(StandardCharsets.US_ASCII)));
        }
        next.add(piece);
        if (chunked) {
            next.add(END.duplicate());
        }
    }

    @Override
    public ByteBuffer next() {
        if (next.isEmpty() && !given) {
            read();
        }
        return next.poll();
    }

    /** Danger: an error here is the client's; its backend must not be blamed for it. */
    private void read() {
        try {
            if (!beyond) {
                beyond = true;
                hearer.letGo();
            } else if (!ended) {
                int got = failed ? 0 : channel.read(loose.clear());
                loose.flip();
                came += Math.max(0, got);
                ended = got < 0;
            }
            if (came > longest) {
                fail(true);
            } else if (loose.hasRemaining()) {
                give(loose.slice());
                loose.position(loose.limit());
            } else if (ended) {
                given = true;
                hearer.whole();
                if (chunked) {
                    next.add(ByteBuffer.wrap("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
                }
            }
        } catch (IOException | RuntimeException e) {
            fail(false);
        }
    }

    private void fail(boolean tooLong) {
        if (!failed) {
            failed = true;
            channel.suspendReads();
            hearer.failed(tooLong);
        }
    }

    @Override
    public boolean isWhole() {
        return given && next.isEmpty();
    }

    @Override
    public void awaitMore(Runnable then) {
        if (failed) {
            return;
        }
        channel.getReadSetter()
                .set(
                        source -> {
                            source.suspendReads();
                            then.run();
                        });
        channel.resumeReads();
    }

    @Override
    public void whenReleased(Runnable then) {
        released = then;
    }

    /** Its request is over: nothing is held any more. */
    void release() {
        bufferBudget.letGo(count);
        count = 0;
        held = new byte[0];
        failed = true;
        released.run();
    }
}
