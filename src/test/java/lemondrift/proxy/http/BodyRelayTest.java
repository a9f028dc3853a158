package lemondrift.proxy.http;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import lemondrift.proxy.ProxyServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.ChannelListener;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;

/** Tests the relay of a body to a sink that stops to accept bytes. */
class BodyRelayTest {
    private static final double STALL_SECONDS = 0.2;
    private static final int END_TIMEOUT_SECONDS = 5;

    /** A body without an end, of which the next piece has always arrived. */
    private static final BodySource ENDLESS_BODY =
            new BodySource() {
                @Override
                public ByteBuffer nextPiece() {
                    return ByteBuffer.allocate(8);
                }

                @Override
                public boolean isComplete() {
                    return false;
                }

                @Override
                public void awaitMore(Runnable action) {
                    throw new AssertionError("there is always more");
                }
            };

    /** Returns a sink that accepts a number of pieces and is never writable after them. */
    private static StreamSinkChannel sinkOf(int pieces) {
        int[] accepted = {0};
        ChannelListener.Setter<StreamSinkChannel> noListener = listener -> {};
        return (StreamSinkChannel)
                Proxy.newProxyInstance(
                        BodyRelayTest.class.getClassLoader(),
                        new Class<?>[] {StreamSinkChannel.class},
                        (sink, method, arguments) ->
                                switch (method.getName()) {
                                    case "getWriteSetter" -> noListener;
                                    case "write" ->
                                            accepted[0]++ < pieces
                                                    ? accept((ByteBuffer) arguments[0])
                                                    : 0;
                                    default -> null;
                                });
    }

    private static int accept(ByteBuffer piece) {
        int bytes = piece.remaining();
        piece.position(piece.limit());
        return bytes;
    }

    /** Guards against a body that is never given up, because its backend reads nothing more. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 15, 16, 17, 32})
    void givesUpWhenTheSinkAcceptsNothingMore(int pieces) throws Exception {
        XnioWorker worker = ProxyServer.createWorker();
        try {
            CompletableFuture<Boolean> complete = new CompletableFuture<>();
            BodyRelay relay =
                    new BodyRelay(
                            ENDLESS_BODY,
                            sinkOf(pieces),
                            worker.getIoThread(),
                            () -> System.nanoTime() / 1e9,
                            new BodyRelay.StallTimeouts(0, STALL_SECONDS),
                            () -> {},
                            complete::complete);
            worker.getIoThread().execute(relay::run);
            assertFalse(complete.get(END_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } finally {
            worker.shutdown();
        }
    }
}
