package lemondrift.serve;

import io.undertow.Handlers;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Receiver;
import io.undertow.io.Sender;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondrift.model.Exchange;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.StreamSourceConduit;

/** The clients' side: takes exchanges in, answers them as told, and says when a client has gone. */
final class Front {
    private static final HttpString TRACE = new HttpString("X-Trace-Id");
    private static final HttpString GRADE = new HttpString("X-Qos");
    private static final HttpString TENANT = new HttpString("X-Customer");
    /** The share of the proxy's connections that clients may have, and where no more are accepted. */
    private static final double SHARE = 0.6, LAST = 0.66;
    /** An exchange's longest time in milliseconds. */
    private static final int LONGEST = 600_000;
    /** Milliseconds for which an answer to what is no exchange may be fetched, and no more is read. */
    private static final int LINGER = 200;
    /** On a connection whose end is listened for. */
    private static final AttachmentKey<Visitors.Visitor> HEARD = AttachmentKey.create(Visitors.Visitor.class);

    private final Config config;
    private final Clock clock;
    private final Owner owner;
    private final XnioWorker worker;
    private final HttpOpenListener http;
    private final Visitors visitors;
    private AcceptingChannel<StreamConnection> server;
    private long taken;
    private volatile boolean draining, busy;
    private volatile double lastArrival;

    Front(Config config, Clock clock, XnioWorker worker, ByteBufferPool buffers, Owner owner) {
        this.config = config;
        this.clock = clock;
        this.owner = owner;
        this.worker = worker;
        visitors = new Visitors(clock, worker.getIoThread(), (int) (SHARE * config.connections()));
        http = new HttpOpenListener(buffers, OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.MAX_HEADER_SIZE, Fields.MOST).set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false).getMap());
        http.setRootHandler(Handlers.httpContinueRead(this::handle));
    }

    void listen() throws IOException {
        // Danger: XNIO accepts again only when one closes at the low mark or under it, so with a lower
        // low mark places that are freed one by one would never be filled.
        int last = (int) (LAST * config.connections());
        server = worker.createStreamConnectionServer(config.listen(),
                ChannelListeners.openListenerAdapter(this::accepted), OptionMap.builder()
                        .set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, config.sockets())
                        .set(Options.CONNECTION_HIGH_WATER, last)
                        .set(Options.CONNECTION_LOW_WATER, last).getMap());
        server.resumeAccepts();
    }

    void accepted(StreamConnection connection) {
        visitors.came(connection);
        http.handleEvent(connection);
    }

    InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /** From now on every answer closes its connection; new ones are still taken. */
    void drain() {
        draining = true;
    }

    boolean isQuietSince(double time) {
        return !busy && lastArrival <= time;
    }

    void close() {
        visitors.stop();
        IoUtils.safeClose(server);
    }

    private void handle(HttpServerExchange client) {
        if (client.getRequestPath().equals("/healthz") && !client.getRequestHeaders().contains(TRACE)) {
            end(client, draining ? 503 : Answer.OK);
            return;
        }
        lastArrival = clock.now();
        if (!isPlain(client)) {
            reject(client, 400);
            return;
        }
        if (client.getRequestContentLength() > Backends.MOST_BODY) {
            reject(client, 413);
            return;
        }
        Receiver receiver = client.getRequestReceiver();
        receiver.setMaxBufferSize(Backends.MOST_BODY);
        receiver.receiveFullBytes(this::received, (failed, e) ->
                reject(failed, e instanceof Receiver.RequestToLargeException ? 413 : 400));
    }

    /** Danger: what Undertow reads leniently a backend may read in another way, and find a second request. */
    private static boolean isPlain(HttpServerExchange client) {
        HeaderMap headers = client.getRequestHeaders();
        // Danger: a body in a coding that is not known has no end, and its request would wait for ever.
        String coding = headers.getFirst(Headers.TRANSFER_ENCODING);
        if (coding != null && (!coding.equalsIgnoreCase("chunked") || !client.isHttp11())
                || headers.count(Headers.TRANSFER_ENCODING) + headers.count(Headers.CONTENT_LENGTH) > 1
                || client.isHostIncludedInRequestURI() || client.getRequestMethod().equals(Methods.CONNECT)) {
            return false;
        }
        for (HeaderValues values : headers) {
            if (!Fields.isToken(values.getHeaderName().toString())) {
                return false;
            }
            for (String value : values) {
                if (!Fields.isValue(value)) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Answers what is not read to its end. Danger: an answer without a body would be held back until all of
     * the request has come, and that may be 60 MB, or have no end.
     */
    private void reject(HttpServerExchange client, int status) {
        client.setPersistent(false);
        refuse(client, status, done -> {
            if (done.isRequestComplete()) {
                done.endExchange();
            } else {
                later(() -> IoUtils.safeClose(channel(done)));
            }
        });
    }

    /**
     * Answers at once what can be read but not used, and reads no more on its connection for a while. Danger:
     * clients that send the same again as soon as it is turned away would take all of the processor.
     */
    private void turnAway(HttpServerExchange client) {
        refuse(client, 400, done -> later(done::endExchange));
    }

    private void later(Runnable task) {
        worker.getIoThread().executeAfter(task, LINGER, TimeUnit.MILLISECONDS);
    }

    private void refuse(HttpServerExchange client, int status, Consumer<HttpServerExchange> then) {
        answer(client, status, StatusCodes.getReason(status).getBytes(StandardCharsets.US_ASCII),
                new IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange done, Sender sender) {
                        then.accept(done);
                    }

                    @Override
                    public void onException(HttpServerExchange failed, Sender sender, IOException e) {
                        IoUtils.safeClose(channel(failed));
                    }
                });
    }

    private static StreamConnection channel(HttpServerExchange client) {
        return ((AbstractServerConnection) client.getConnection()).getChannel();
    }

    private void received(HttpServerExchange client, byte[] body) {
        client.dispatch(SameThreadExecutor.INSTANCE, () -> {
            Exchange x = exchange(client.getRequestHeaders());
            Visitors.Visitor visitor = visitors.of(channel(client));
            if (x == null || visitor == null || !visitor.began(only(client.getRequestHeaders(), TRACE), x)) {
                turnAway(client);
                return;
            }
            busy = true;
            if (client.getConnection().getAttachment(HEARD) == null) {
                client.getConnection().putAttachment(HEARD, visitor);
                client.getConnection().addCloseListener(closed -> ended(visitor, true));
            }
            client.addExchangeCompleteListener((done, next) -> {
                ended(visitor, false);
                next.proceed();
            });
            watchForClose((AbstractServerConnection) client.getConnection());
            owner.arrived(new Taken(x, client, body));
        });
    }

    /** Null where a field is missing, malformed or there twice. */
    private Exchange exchange(HeaderMap headers) {
        int grade = config.gradeNames().indexOf(only(headers, GRADE));
        int tenant = config.tenantNames().isEmpty() ? 0
                : config.tenantNames().indexOf(only(headers, TENANT));
        int milliseconds = Fields.number(only(headers, Backends.EXPIRES), 9);
        if (only(headers, TRACE).isEmpty() || grade < 0 || tenant < 0 || milliseconds < 0) {
            return null;
        }
        double now = clock.now();
        return new Exchange(++taken, grade, tenant, now, Math.min(LONGEST, milliseconds) / 1e3);
    }

    private static String only(HeaderMap headers, HttpString field) {
        return headers.count(field) == 1 ? headers.getFirst(field) : "";
    }

    /** Answered, or the client has gone; whichever comes first. */
    private void ended(Visitors.Visitor visitor, boolean gone) {
        Exchange x = visitor.exchange;
        if (x != null) {
            visitor.answered();
            busy = visitors.open() > 0;
            if (gone) {
                owner.left(x);
            }
        }
    }

    /** Danger: Undertow reads nothing while an answer is awaited, so a client that goes is not seen. */
    private static void watchForClose(AbstractServerConnection connection) {
        // Danger: what Undertow has read ahead already would be lost to what is read here.
        if (connection.getExtraBytes() != null) {
            return;
        }
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        connection.getChannel().getSourceChannel().setReadListener(channel -> {
            PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
            try {
                int got = source.read(pooled.getBuffer());
                if (got > 0) {
                    // A request sent ahead of the answer to the one before: it is read when its turn comes.
                    pooled.getBuffer().flip();
                    connection.setExtraBytes(pooled);
                    pooled = null;
                    channel.suspendReads();
                } else if (got < 0) {
                    IoUtils.safeClose(connection.getChannel());
                }
            } catch (IOException e) {
                IoUtils.safeClose(connection.getChannel());
            } finally {
                IoUtils.safeClose(pooled);
            }
        });
        connection.getChannel().getSourceChannel().resumeReads();
    }

    /** Passes a backend's answer on. */
    void deliver(HttpServerExchange client, Answer answer) {
        Backends.copy(answer.headers(), client.getResponseHeaders());
        answer(client, Answer.OK, answer.body(), IoCallback.END_EXCHANGE);
    }

    /** A shed answer promises that a retry is harmless; a scrapped one promises nothing. */
    void giveUp(HttpServerExchange client, boolean shed, double retryAfter) {
        if (shed && retryAfter > 0) {
            client.getResponseHeaders().put(Headers.RETRY_AFTER,
                    String.valueOf(Math.ceil(retryAfter * 1000) / 1000));
        }
        end(client, shed ? 503 : 502);
    }

    private void end(HttpServerExchange client, int status) {
        answer(client, status, new byte[0], IoCallback.END_EXCHANGE);
    }

    private void answer(HttpServerExchange client, int status, byte[] body, IoCallback then) {
        if (client.isResponseStarted() || client.isComplete()) {
            return;
        }
        if (draining || visitors.isCrowded()) {
            client.setPersistent(false);
        }
        client.setStatusCode(status);
        client.setResponseContentLength(body.length);
        if (body.length == 0) {
            client.endExchange();
        } else {
            client.getResponseSender().send(ByteBuffer.wrap(body), then);
        }
    }
}
