package lemondrift.proxy.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import lemondrift.proxy.events.StreamedRequestBody;
import lemondrift.proxy.http.BodyRelay;
import lemondrift.proxy.time.MonotonicClock;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * Writes the request of one call to its connection: the head and the buffered body, then the
 * streamed body if there is one. Reports to the call when the complete request has been written to
 * the kernel, or why it will not be. I/O thread only.
 */
final class RequestWriter {
    /**
     * A request to be sent.
     *
     * @param head encodes the head once it can be written
     * @param body the buffered body; empty if there is none or it is streamed
     * @param streamedBody the body that is forwarded as it arrives; null if it is buffered
     */
    record Request(RequestHead head, byte[] body, StreamedRequestBody streamedBody) {
        /** Creates a request with a fixed head and no body. */
        Request(byte[] head) {
            this(secondsLeft -> head, new byte[0], null);
        }
    }

    /** Takes the place of a head that is not encoded yet; it is never written. */
    private static final ByteBuffer HEAD_PLACEHOLDER = ByteBuffer.allocate(1).asReadOnlyBuffer();

    /**
     * The share of the response timeout without an accepted byte from which a backend is at fault
     * if its request ends.
     */
    private static final double STALLED_SHARE = 0.5;

    /**
     * Seconds before the client stops waiting at which the response to a streamed request times
     * out. Guards against a backend that is not at fault because its attempt is cancelled first.
     */
    private static final double TIMEOUT_LEAD_SECONDS = 0.01;

    private final BackendCall call;
    private final XnioIoThread ioThread;
    private final MonotonicClock clock;
    private final RequestHead head;

    /** The head, once it has been encoded, and the buffered body. */
    private final ByteBuffer[] headAndBody;

    /** Null if the complete body is buffered. */
    private final StreamedRequestBody streamedBody;

    private ConduitStreamSinkChannel sink;

    /** Null until the streamed body is being forwarded. */
    private BodyRelay bodyRelay;

    private boolean isBodyStreamed;

    RequestWriter(BackendCall call, XnioIoThread ioThread, MonotonicClock clock, Request request) {
        this.call = call;
        this.ioThread = ioThread;
        this.clock = clock;
        head = request.head();
        headAndBody = new ByteBuffer[] {HEAD_PLACEHOLDER, ByteBuffer.wrap(request.body())};
        streamedBody = request.streamedBody();
    }

    /** Returns whether the body is forwarded as it arrives. */
    boolean streamsBody() {
        return streamedBody != null;
    }

    /** Returns how long the response to a streamed request may take from now on, in seconds. */
    double maxResponseSeconds() {
        return streamedBody.clientSecondsLeft() - TIMEOUT_LEAD_SECONDS;
    }

    /** Returns whether the kernel has the last byte of the request, so that it may be executed. */
    boolean isSent() {
        return isHeadAndBodySent() && (streamedBody == null || isBodyStreamed);
    }

    /** Returns whether the kernel has the request, except for a streamed body. */
    private boolean isHeadAndBodySent() {
        return headAndBody[1].remaining() + headAndBody[0].remaining() == 0;
    }

    /** Encodes the head, which states the time left for the response. */
    void encodeHead(double secondsLeft) {
        headAndBody[0] = ByteBuffer.wrap(head.encode(secondsLeft));
    }

    /** Starts to write; continues whenever the connection accepts more bytes. */
    void start(ConduitStreamSinkChannel connectionSink) {
        sink = connectionSink;
        if (streamedBody != null) {
            streamedBody.onRelease(this::bodyReleased);
        }
        sink.setWriteListener(channel -> write());
        write();
    }

    private void write() {
        // Guards against executing a request whose client closed or whose time passed while it
        // waited for a connection or for a backend that reads nothing: backends don't execute an
        // incomplete request.
        if (!call.isDone() && !isHeadAndBodySent() && !call.shouldSend()) {
            call.endNotSent();
            return;
        }
        try {
            while (!call.isDone() && !isHeadAndBodySent()) {
                if (sink.write(headAndBody) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.suspendWrites();
            if (call.isDone()) {
                return;
            }
            if (streamedBody == null) {
                call.requestSent();
            } else {
                streamBody();
            }
        } catch (IOException e) {
            call.endConnectionBroken();
        }
    }

    /**
     * Ends the call if its request is incomplete. Guards against an attempt that stays in flight
     * after its client closed, or was answered, in the middle of the body, if attempts can't be
     * cancelled.
     */
    private void bodyReleased() {
        if (isSent()) {
            return;
        }
        if (isBackendStalled()) {
            call.endConnectionBroken();
        } else {
            call.endNotSent();
        }
    }

    /** Guards against blaming a backend for a client that closed. */
    private boolean isBackendStalled() {
        return bodyRelay != null
                && bodyRelay.sinkStalledSeconds()
                        >= STALLED_SHARE * streamedBody.responseTimeoutSeconds();
    }

    private void streamBody() {
        // Guards against a backend that reads nothing; the client side has its own timeouts.
        BodyRelay.StallTimeouts stallTimeouts =
                new BodyRelay.StallTimeouts(0, streamedBody.stallTimeoutSeconds());
        bodyRelay =
                new BodyRelay(
                        streamedBody,
                        sink,
                        ioThread,
                        clock::now,
                        stallTimeouts,
                        () -> {},
                        this::bodyRelayEnded);
        bodyRelay.run();
    }

    private void bodyRelayEnded(boolean complete) {
        if (!complete) {
            call.endConnectionBroken();
            return;
        }
        isBodyStreamed = true;
        call.requestSent();
    }

    /** Stops forwarding a streamed body. */
    void stop() {
        if (bodyRelay != null) {
            bodyRelay.stop();
        }
    }
}
