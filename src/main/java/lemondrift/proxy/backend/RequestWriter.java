package lemondrift.proxy.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import lemondrift.proxy.events.StreamedRequestBody;
import lemondrift.proxy.http.BodyRelay;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * Writes the request of one call to its connection: the head and the buffered body, then the
 * streamed body if there is one. Tells the call once all of it is with the kernel, or why it is not
 * going to be. I/O thread only.
 */
final class RequestWriter {
    /**
     * A request to be sent.
     *
     * @param head makes its head once it can be written
     * @param body the body that is buffered; empty where there is none or it is streamed
     * @param streamedBody the body that is passed on as it comes; null where it is buffered
     */
    record Request(RequestHead head, byte[] body, StreamedRequestBody streamedBody) {
        /** A request whose head is known beforehand, without a body. */
        Request(byte[] head) {
            this(secondsLeft -> head, new byte[0], null);
        }
    }

    /** Stands for a head that is not made yet; it is never written. */
    private static final ByteBuffer HEAD_PLACEHOLDER = ByteBuffer.allocate(1).asReadOnlyBuffer();

    private final BackendCall call;
    private final XnioIoThread ioThread;
    private final RequestHead head;

    /** The head, once it can be written, and the buffered body. */
    private final ByteBuffer[] headAndBody;

    /** Null where the whole body is buffered. */
    private final StreamedRequestBody streamedBody;

    private ConduitStreamSinkChannel sink;

    /** Null until the streamed body is being passed on. */
    private BodyRelay bodyRelay;

    private boolean isBodyStreamed;

    RequestWriter(BackendCall call, XnioIoThread ioThread, Request request) {
        this.call = call;
        this.ioThread = ioThread;
        head = request.head();
        headAndBody = new ByteBuffer[] {HEAD_PLACEHOLDER, ByteBuffer.wrap(request.body())};
        streamedBody = request.streamedBody();
    }

    /** Whether a body is passed on as it comes. */
    boolean streamsBody() {
        return streamedBody != null;
    }

    /** Whether the last byte of the request is with the kernel, so that it may be executed. */
    boolean isSent() {
        return isHeadAndBodySent() && (streamedBody == null || isBodyStreamed);
    }

    /** Whether all but the streamed body, if there is one, is with the kernel. */
    private boolean isHeadAndBodySent() {
        return headAndBody[1].remaining() + headAndBody[0].remaining() == 0;
    }

    /** Makes the head, which states the seconds that are left for the response. */
    void makeHead(double secondsLeft) {
        headAndBody[0] = ByteBuffer.wrap(head.encode(secondsLeft));
    }

    /** Starts to write; goes on by itself whenever the connection takes more. */
    void start(ConduitStreamSinkChannel connectionSink) {
        sink = connectionSink;
        sink.setWriteListener(channel -> write());
        write();
    }

    private void write() {
        // Guards against executing a request whose client left or whose time passed while it waited
        // for a connection or for a backend that takes nothing: an incomplete one is not executed.
        if (!call.isDone() && !isHeadAndBodySent() && !call.isStillWanted()) {
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

    private void streamBody() {
        // Guards against an attempt that stays out after its client left in the middle of the body,
        // where attempts cannot be cancelled.
        streamedBody.onRelease(
                () -> {
                    if (!isSent()) {
                        call.endNotSent();
                    }
                });
        // Guards against a backend that takes nothing; the client's side has timeouts of its own.
        BodyRelay.StallTimeouts stallTimeouts =
                new BodyRelay.StallTimeouts(0, streamedBody.stallTimeoutSeconds());
        bodyRelay =
                new BodyRelay(
                        streamedBody,
                        sink,
                        ioThread,
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

    /** Passes on no more of a streamed body. */
    void stop() {
        if (bodyRelay != null) {
            bodyRelay.stop();
        }
    }
}
