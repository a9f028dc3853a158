package lemondrift.proxy.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.http.BodyChunks;

/** A long response from its beginning, which was read whole, to its end. I/O thread only. */
final class LongResponse implements BodyChunks {
    private final BackendResponse response;
    private boolean beginningGiven;

    LongResponse(BackendResponse response) {
        this.response = response;
    }

    @Override
    public ByteBuffer next() throws IOException {
        if (!beginningGiven) {
            beginningGiven = true;
            return ByteBuffer.wrap(response.body());
        }
        return response.remainder().next();
    }

    @Override
    public boolean isComplete() {
        return beginningGiven && response.remainder().isComplete();
    }

    @Override
    public void awaitMore(Runnable action) {
        response.remainder().awaitMore(action);
    }
}
