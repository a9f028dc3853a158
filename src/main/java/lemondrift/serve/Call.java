package lemondrift.serve;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request on one connection and its whole answer; it never tries again by itself. I/O thread only. */
final class Call {
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final Links links;
    private final ClientRequest request;
    private final ByteBuffer body;
    private final int most;
    private final Consumer<Answer> end;
    private final ByteArrayOutputStream read = new ByteArrayOutputStream(1024);
    private Links.Link link;
    private IoFuture<StreamConnection> connect;
    private XnioExecutor.Key connectTimer, timer;
    private ClientExchange exchange;
    private boolean sent, done;

    private Call(Links links, ClientRequest request, byte[] body, int most, Consumer<Answer> end) {
        this.links = links;
        this.request = request;
        this.body = ByteBuffer.wrap(body);
        this.most = most;
        this.end = end;
    }

    /** Begins a call; end hears of its answer once, not after abandon. Null if no connection can be had. */
    static Call begin(Links links, ClientRequest request, byte[] body, int most, double connectTimeout,
            double within, Consumer<Answer> end) {
        Call call = new Call(links, request, body, most, end);
        call.link = links.idle();
        if (call.link == null && !links.reserve()) {
            return null;
        }
        call.timer = call.after(within);
        call.connectTimer = call.link == null ? call.after(connectTimeout) : null;
        links.dialler.execute(call::start);
        return call;
    }

    private XnioExecutor.Key after(double seconds) {
        long nanos = (long) (Math.max(0, seconds) * 1e9);
        return links.dialler.executeAfter(() -> broken(true), nanos, TimeUnit.NANOSECONDS);
    }

    private void start() {
        if (done) {
            return;
        }
        if (link != null) {
            send();
        } else {
            dial();
        }
    }

    private void dial() {
        URI uri = URI.create("http://" + links.address.getAddress().getHostAddress() + ":"
                + links.address.getPort());
        UndertowClient.getInstance().connect(then(this::connected), uri, links.dialler, links.buffers,
                OPTIONS);
        connect = links.dialler.last();
    }

    private <T> ClientCallback<T> then(Consumer<T> next) {
        return new ClientCallback<T>() {
            @Override
            public void completed(T result) {
                next.accept(result);
            }

            @Override
            public void failed(IOException e) {
                broken(false);
            }
        };
    }

    private void connected(ClientConnection connection) {
        if (done) {
            IoUtils.safeClose(connection);
            return;
        }
        try {
            link = links.opened(connection, connect.get());
            connectTimer.remove();
            send();
        } catch (IOException e) {
            broken(false);
        }
    }

    private void send() {
        link.connection.sendRequest(request, then(ready -> {
            exchange = ready;
            ready.setResponseListener(then(answered -> read(answered.getResponseChannel())));
            if (body.hasRemaining()) {
                write(ready.getRequestChannel());
            } else {
                // Danger: where it is not known whether the last byte went out, it may have run.
                sent = true;
            }
        }));
    }

    private void write(StreamSinkChannel sink) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(this::write);
                    sink.resumeWrites();
                    return;
                }
            }
            sent = true;
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.getWriteSetter().set(ChannelListeners.flushingChannelListener(null,
                        (channel, e) -> broken(false)));
                sink.resumeWrites();
            }
        } catch (IOException | RuntimeException e) {
            broken(false);
        }
    }

    private void read(StreamSourceChannel source) {
        try {
            if (!done && drained(source)) {
                whole();
            }
        } catch (IOException e) {
            broken(false);
        }
    }

    /** Reads what has come; whether that is all of the answer. */
    private boolean drained(StreamSourceChannel source) throws IOException {
        try (PooledByteBuffer pooled = links.buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int got = source.read(buffer);
            for (; got > 0 && read.size() <= most; got = source.read(buffer)) {
                buffer.flip();
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                buffer.clear();
                read.write(bytes);
            }
            if (got == 0) {
                source.getReadSetter().set(this::read);
                source.resumeReads();
            }
            if (read.size() > most) {
                throw new IOException("an answer of over " + most + " bytes");
            }
            return got < 0;
        }
    }

    private void whole() throws IOException {
        HeaderMap headers = exchange.getResponse().getResponseHeaders();
        String length = headers.getFirst(Headers.CONTENT_LENGTH);
        if (length != null && !length.equals(String.valueOf(read.size()))) {
            throw new IOException("an answer of " + read.size() + " bytes instead of " + length);
        }
        finish();
        // Danger: an answer that came before the request was whole leaves the connection half written.
        if (sent) {
            links.back(link);
        } else {
            link.close();
        }
        end.accept(new Answer(exchange.getResponse().getResponseCode(), headers, read.toByteArray(), sent,
                false));
    }

    private void broken(boolean timedOut) {
        if (!done) {
            boolean mayHaveRun = sent;
            abandon();
            end.accept(Answer.broken(mayHaveRun, timedOut));
        }
    }

    /** Gives the request up by closing its connection, so that no copy is left out. */
    void abandon() {
        if (done) {
            return;
        }
        finish();
        if (link != null) {
            link.close();
        } else {
            links.released();
            if (connect != null) {
                connect.cancel();
            }
        }
    }

    private void finish() {
        done = true;
        timer.remove();
        if (connectTimer != null) {
            connectTimer.remove();
        }
    }
}
