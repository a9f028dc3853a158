package lemondrift.proxy.backend;

import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.ResponseRemainder;
import lemondrift.proxy.events.StreamedRequestBody;
import lemondrift.proxy.http.BodyRelay;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * One request on one connection and its answer, whole, or where it is long its beginning and then
 * piece by piece as it is asked for. It never tries again by itself. I/O thread only.
 */
public final class BackendCall implements ResponseRemainder {
    /** What is to be sent; the upload, if any, follows in place of a body. */
    record Request(Head head, byte[] body, StreamedRequestBody upload) {
        Request(byte[] head) {
            this(left -> head, new byte[0], null);
        }
    }

    /** Makes a request's head once it can be written; so many seconds are left for its answer. */
    interface Head {
        byte[] within(double seconds);
    }

    private static final Logger LOG = LoggerFactory.getLogger(BackendCall.class);

    /** Stands for a head that is not made yet; it is never written. */
    private static final ByteBuffer UNWRITTEN = ByteBuffer.allocate(1).asReadOnlyBuffer();

    private final ConnectionPool pool;
    private final Head head;

    /** The head, once it can be written, and the body. */
    private final ByteBuffer[] request;

    private final StreamedRequestBody streamedBody;
    private BodyRelay uploading;
    private boolean uploaded;
    private final ResponseReader reader;
    private final Consumer<BackendResponse> end;
    private final Runnable written;

    /** Whether anybody waits for its answer. */
    private BooleanSupplier wanted = () -> true;

    private ConnectionPool.Link link;
    private IoFuture<StreamConnection> connect;
    private XnioExecutor.Key connectTimer;
    private XnioExecutor.Key timer;
    private XnioExecutor.Key passTimer;
    private boolean done;

    /** What has come of an answer that is passed on, and who is to hear of more. */
    private PooledByteBuffer passing;

    private Runnable more;
    private double within = Double.POSITIVE_INFINITY;
    private double endless;
    private double began;

    private BackendCall(
            ConnectionPool pool,
            Request request,
            int most,
            boolean mayPass,
            Runnable written,
            Consumer<BackendResponse> end) {
        this.pool = pool;
        head = request.head;
        this.request = new ByteBuffer[] {UNWRITTEN, ByteBuffer.wrap(request.body)};
        streamedBody = request.upload;
        this.reader = new ResponseReader(most, mayPass);
        this.written = written;
        this.end = end;
    }

    /**
     * A call to be started; end hears of its answer once, not after abandon. Null if there is no
     * room.
     */
    public static BackendCall make(
            ConnectionPool pool,
            byte[] request,
            int most,
            double connectTimeout,
            double within,
            Consumer<BackendResponse> end) {
        BackendCall call = new BackendCall(pool, new Request(request), most, false, () -> {}, end);
        return make(pool, call, connectTimeout, within);
    }

    /**
     * One whose answer may be passed on: when it is too long to be held, or nobody can say how long
     * it will be and it has lasted so many seconds. Written hears that its last byte is with the
     * system; where the request is an upload that takes its time, both spans count from then on.
     * Nothing more of the request is sent once it is not wanted or its time is over.
     */
    static BackendCall passing(
            ConnectionPool pool,
            Request request,
            int most,
            double connectTimeout,
            double within,
            double endless,
            BooleanSupplier wanted,
            Runnable written,
            Consumer<BackendResponse> end) {
        BackendCall call = new BackendCall(pool, request, most, true, written, end);
        call.within = within;
        call.wanted = wanted;
        call.endless = endless;
        return make(pool, call, connectTimeout, within);
    }

    private static BackendCall make(
            ConnectionPool pool, BackendCall call, double connectTimeout, double within) {
        call.link = pool.rested();
        if (call.link == null && !pool.reserve()) {
            call.link = pool.idle();
            if (call.link == null) {
                return null;
            }
        }
        call.began = pool.clock.now();
        call.timer = call.streamedBody == null ? call.after(within) : null;
        call.connectTimer = call.link == null ? call.after(connectTimeout) : null;
        return call;
    }

    public static byte[] get(String path, String host) {
        return ("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private XnioExecutor.Key after(double seconds) {
        long nanos = (long) (Math.max(0, seconds) * 1e9);
        return pool.io.executeAfter(() -> broken(true), nanos, TimeUnit.NANOSECONDS);
    }

    public void start() {
        if (link != null) {
            send();
        } else {
            connect();
        }
    }

    /** Danger: whoever fails here and is told so would end once more with the timers. */
    private void connect() {
        try {
            connect = pool.dial.open(pool.address, this::connected);
            connect.addNotifier(
                    (future, nothing) -> {
                        if (future.getStatus() == IoFuture.Status.FAILED) {
                            broken(false);
                        }
                    },
                    null);
        } catch (RuntimeException e) {
            LOG.error("no connection begun", e);
            unsent();
        }
    }

    private void connected(StreamConnection connection) {
        if (done) {
            IoUtils.safeClose(connection);
            return;
        }
        link = pool.opened(connection);
        connectTimer.remove();
        send();
    }

    private void send() {
        // Danger: its backend may have been told to drain for long while the connection came up.
        if (pool.isRetired()) {
            unsent();
            return;
        }
        // Danger: the time that was left before the connection came up is more than its client has
        // now.
        request[0] = ByteBuffer.wrap(head.within(began + within - pool.clock.now()));
        link.connection.getSourceChannel().setReadListener(source -> read());
        link.connection.getSourceChannel().resumeReads();
        link.connection.getSinkChannel().setWriteListener(sink -> write());
        write();
    }

    private void write() {
        // Danger: its client may have left, or its time have passed, while it waited for a
        // connection or for
        // a backend that takes nothing. What has not come whole has not begun there.
        if (!done && !isHanded() && (!wanted.getAsBoolean() || isLate())) {
            unsent();
            return;
        }
        var sink = link.connection.getSinkChannel();
        try {
            while (!done && !isHanded()) {
                if (sink.write(request) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.suspendWrites();
            if (!done && streamedBody == null) {
                written.run();
            } else if (!done) {
                upload();
            }
        } catch (IOException e) {
            broken(false);
        }
    }

    private boolean isLate() {
        return streamedBody == null && pool.clock.now() >= began + within;
    }

    /** Whether all but the upload, if there is one, is with the system. */
    private boolean isHanded() {
        return request[1].remaining() + request[0].remaining() == 0;
    }

    private void upload() {
        // Danger: where no forward may be called off, one whose client left in the middle would
        // stay out.
        streamedBody.whenReleased(
                () -> {
                    if (!isSent()) {
                        unsent();
                    }
                });
        // Danger: a backend that takes nothing would keep its client for ever. The giver is the
        // door's.
        uploading =
                new BodyRelay(
                        streamedBody,
                        link.connection.getSinkChannel(),
                        pool.io,
                        new BodyRelay.Patience(0, streamedBody.stallTimeoutSeconds()),
                        () -> {},
                        whole -> {
                            if (!whole) {
                                broken(false);
                                return;
                            }
                            uploaded = true;
                            began = pool.clock.now();
                            timer = after(within);
                            written.run();
                        });
        uploading.run();
    }

    /** Whether its last byte is with the system. */
    private boolean isSent() {
        return isHanded() && (streamedBody == null || uploaded);
    }

    /** When it began, or where it is an upload, when its last byte had gone. */
    double began() {
        return began;
    }

    private void read() {
        PooledByteBuffer pooled = pool.buffers.allocate();
        try {
            ByteBuffer buffer = pooled.getBuffer();
            int got = 1;
            while (!done && got > 0) {
                got = link.connection.getSourceChannel().read(buffer.clear());
                if (got > 0 && reader.read(buffer.flip())) {
                    if (buffer.hasRemaining()) {
                        pool.saidMore();
                    }
                    whole(buffer.hasRemaining());
                } else if (got > 0 && reader.isLong()) {
                    passing = pooled;
                    begun();
                } else if (got < 0 && reader.endsHere()) {
                    whole(true);
                } else if (got < 0) {
                    broken(false);
                }
            }
            if (!done && reader.isEndless() && endless > 0 && passTimer == null && isSent()) {
                double left = Math.max(0, began + endless - pool.clock.now());
                passTimer =
                        pool.io.executeAfter(this::pass, (long) (left * 1e9), TimeUnit.NANOSECONDS);
            }
        } catch (IOException | RuntimeException e) {
            // Danger: an answer that makes a library fail would leave its forward without an end.
            broken(false);
        } finally {
            if (passing != pooled) {
                pooled.close();
            }
        }
    }

    /**
     * Danger: who waited for the end of an answer that comes slowly would hear nothing until too
     * late.
     */
    private void pass() {
        if (!done) {
            reader.pass();
            passing = pool.buffers.allocate();
            passing.getBuffer().limit(0);
            begun();
        }
    }

    /** From here on nothing but the sides themselves ends it. */
    private void begun() {
        finish();
        link.connection.getSourceChannel().suspendReads();
        end.accept(reader.begun(this));
    }

    /** The length of a long answer's body; -1 where nobody tells. */
    @Override
    public int declared() {
        return reader.declared();
    }

    @Override
    public ByteBuffer next() throws IOException {
        ByteBuffer raw = passing.getBuffer();
        for (int got = 1; got > 0; ) {
            ByteBuffer piece = reader.piece(raw);
            if (piece != null || reader.isWhole()) {
                return piece;
            }
            got = link.connection.getSourceChannel().read(raw.clear());
            raw.flip();
            if (got < 0 && reader.endsHere()) {
                reader.ended();
            } else if (got < 0) {
                throw new IOException("an answer that breaks off");
            }
        }
        return null;
    }

    @Override
    public boolean isWhole() {
        return reader.isWhole();
    }

    @Override
    public void awaitMore(Runnable then) {
        more = then;
        link.connection
                .getSourceChannel()
                .setReadListener(
                        source -> {
                            source.suspendReads();
                            more.run();
                        });
        link.connection.getSourceChannel().resumeReads();
    }

    /** What was passed on is whole. */
    @Override
    public void passed() {
        boolean spent = passing.getBuffer().hasRemaining() || reader.closes() || !isSent();
        release();
        if (spent) {
            link.close();
        } else {
            pool.back(link);
        }
    }

    /** Nobody wants what is passed on any more. */
    @Override
    public void abandonResponse() {
        release();
        link.close();
    }

    private void release() {
        if (passing != null) {
            passing.close();
            passing = null;
        }
    }

    /**
     * Danger: what lies beyond an answer, or is still to be sent, would be taken for the next
     * exchange's.
     */
    private void whole(boolean spent) {
        finish();
        if (spent || !isSent() || reader.closes()) {
            link.close();
        } else {
            pool.back(link);
        }
        end.accept(reader.answer());
    }

    private void broken(boolean timedOut) {
        if (!done) {
            abandon();
            // Danger: once the last byte is handed to the kernel it may have run, whatever is seen
            // after.
            end.accept(BackendResponse.broken(isSent(), timedOut));
        }
    }

    private void unsent() {
        if (!done) {
            abandon();
            end.accept(BackendResponse.unsent());
        }
    }

    /** Gives the request up by closing its connection, so that no copy is left out. */
    public void abandon() {
        if (done) {
            return;
        }
        finish();
        if (link != null) {
            link.close();
        } else {
            pool.released();
            if (connect != null) {
                connect.cancel();
            }
        }
    }

    private void finish() {
        done = true;
        if (timer != null) {
            timer.remove();
        }
        if (uploading != null) {
            uploading.stop();
        }
        if (connectTimer != null) {
            connectTimer.remove();
        }
        if (passTimer != null) {
            passTimer.remove();
        }
    }
}
