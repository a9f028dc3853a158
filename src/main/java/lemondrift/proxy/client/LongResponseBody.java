package lemondrift.proxy.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.http.BodySource;

/**
 * The complete body of a long response: its buffered beginning, followed by the remainder. I/O
 * thread only.
 */
final class LongResponseBody implements BodySource {
    private final BackendResponse response;
    private boolean beginningReturned;

    LongResponseBody(BackendResponse response) {
        this.response = response;
    }

    @Override
    public ByteBuffer nextPiece() throws IOException {
        if (!beginningReturned) {
            beginningReturned = true;
            return ByteBuffer.wrap(response.body());
        }
        return response.remainder().nextPiece();
    }

    @Override
    public boolean isComplete() {
        return beginningReturned && response.remainder().isComplete();
    }

    @Override
    public void awaitMore(Runnable action) {
        response.remainder().awaitMore(action);
    }
}
