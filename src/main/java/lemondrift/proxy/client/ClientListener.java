package lemondrift.proxy.client;

import io.undertow.Handlers;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
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
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondrift.buffer.BodyBufferBudget;
import lemondrift.connection.RequestQueue;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import lemondrift.model.RequestTerms;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.DecisionEvents;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.http.BodyChunks;
import lemondrift.proxy.http.BodyRelay;
import lemondrift.proxy.http.HttpFieldRules;
import lemondrift.proxy.http.ProxyHeaders;
import lemondrift.proxy.logging.FailureLog;
import lemondrift.proxy.time.MonotonicClock;
import lemondrift.settings.RequestClassIndex;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.InheritedServer;

/** The clients' side: takes exchanges in, answers them as told, and says when a client has gone. */
public final class ClientListener {
    private static final HttpString TRACE = new HttpString("X-Trace-Id");
    private static final HttpString GRADE = new HttpString("X-Qos");
    private static final HttpString RETRY = new HttpString("X-Second-Try");
    private static final HttpString KEEP_ALIVE = new HttpString("Keep-Alive");
    private static final HttpString TENANT = new HttpString("X-Customer");

    /** Bytes of the longest request. */
    private static final long LONGEST_BODY = 40 << 20;

    /**
     * Bytes of one that are held, and the share of the proxy's memory that all of them may have.
     */
    private static final int HELD = 256 * 1024;

    private static final double HELD_SHARE = 1.0 / 12;

    /** An exchange's longest time in milliseconds. */
    private static final int LONGEST = 600_000;

    /** The connection that a request came on. */
    private static final AttachmentKey<ClientConnections.Visitor> VISITOR =
            AttachmentKey.create(ClientConnections.Visitor.class);

    private final ProxyConfig config;
    private Runnable beforeEachRequest = () -> {};
    private final MonotonicClock clock;
    private final DecisionEvents decisionEvents;
    private final ProxyMetrics metrics;
    private final FailureLog endings;
    private final XnioWorker worker;
    private final HttpOpenListener http;
    private final ClientConnections clientConnections;
    private final RequestQueue<PendingRequest> intake;
    private final ByteBufferPool buffers;
    private final BodyBufferBudget bufferBudget;

    /** What is stated now: which grade a name means, and what an exchange of each comes under. */
    private RequestClassIndex requestClasses;

    private volatile RequestTerms[] terms;
    private AcceptingChannel<StreamConnection> server;

    /** In its place where the process was given a socket. */
    private InheritedServer inherited;

    private long taken;
    private volatile boolean draining;

    /** When the last answers are to be out. */
    private volatile double lastAnswers = Double.POSITIVE_INFINITY;

    public ClientListener(
            ProxyConfig config,
            RequestClassIndex requestClasses,
            MonotonicClock clock,
            XnioWorker worker,
            ByteBufferPool buffers,
            DecisionEvents decisionEvents,
            ProxyMetrics metrics) {
        this.config = config;
        this.clock = clock;
        this.decisionEvents = decisionEvents;
        this.worker = worker;
        this.buffers = buffers;
        bufferBudget = new BodyBufferBudget(HELD, (long) (HELD_SHARE * config.memoryBytes()));
        intake = new RequestQueue<>(config.settings().windowSeconds());
        clientConnections =
                new ClientConnections(
                        clock,
                        worker.getIoThread(),
                        config.connectionLimits(),
                        config.seed(),
                        metrics,
                        this::left);
        this.metrics = metrics;
        endings = new FailureLog(metrics);
        settingsChanged(requestClasses, config.settings());
        // Danger: with Undertow's buffer for pipelined answers one would wait for the next
        // request's end.
        http =
                new HttpOpenListener(
                        buffers,
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, HttpFieldRules.MOST)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .getMap());
        http.setRootHandler(Handlers.httpContinueRead(this::handle));
    }

    /** Other grades are stated for what is read from now on. */
    public void settingsChanged(RequestClassIndex other, Settings settings) {
        requestClasses = other;
        terms = new RequestTerms[settings.requestClasses().size()];
        Arrays.setAll(terms, settings::termsFor);
        intake.retuned(settings.windowSeconds());
        metrics.registerClasses(other.names());
    }

    /** A share of what it may use is this process's from now on. I/O thread only. */
    public void setResourceShare(double share, int processes) {
        clientConnections.share(share);
        bufferBudget.all((long) (HELD_SHARE * config.memoryBytes() / processes));
        if (inherited != null) {
            inherited.most((int) (share * config.connectionLimits().last()));
        }
    }

    public int classesKnown() {
        return terms.length;
    }

    /** Accepts on a socket that the process was given, and that others may accept on as well. */
    public void listen(ServerSocketChannel given) throws IOException {
        inherited =
                new InheritedServer(
                        given,
                        worker.getIoThread(),
                        config.connectionLimits().last(),
                        this::accepted);
        worker.getIoThread().execute(inherited::listen);
    }

    public void listen() throws IOException {
        // Danger: XNIO accepts again only when one closes at the low mark or under it, so with a
        // lower
        // low mark places that are freed one by one would never be filled.
        int last = config.connectionLimits().last();
        server =
                worker.createStreamConnectionServer(
                        config.listen(),
                        ChannelListeners.openListenerAdapter(this::accepted),
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, config.sockets())
                                .set(Options.CONNECTION_HIGH_WATER, last)
                                .set(Options.CONNECTION_LOW_WATER, last)
                                .getMap());
        server.resumeAccepts();
    }

    public void accepted(StreamConnection connection) {
        clientConnections.came(connection, http);
    }

    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Who still comes is taken by others. Danger: a socket of its own left so would refuse them.
     */
    public void closeInheritedSocket() {
        if (inherited != null) {
            worker.getIoThread().execute(inherited::stop);
        }
    }

    /**
     * From now on answers close their connections, those without a word go by then; new ones are
     * taken, and whatever is taken is to be answered by the last time.
     */
    public void drain(double until, double last) {
        draining = true;
        lastAnswers = last;
        worker.getIoThread().execute(() -> clientConnections.drain(until));
    }

    /** Clients are no longer sent away. */
    public void resume() {
        draining = false;
        worker.getIoThread().execute(clientConnections::resume);
    }

    /** The indexes of classes that open exchanges name. I/O thread only. */
    public Set<Integer> classesInUse() {
        return clientConnections.grades();
    }

    /** How many clients have an exchange open. I/O thread only. */
    public int openConnectionCount() {
        return clientConnections.open();
    }

    public boolean isDraining() {
        return draining;
    }

    /**
     * Takes in who waits to be accepted, and says whether nobody is left to whom an answer is owed.
     * I/O thread only. Danger: what came since such a look would be lost, so that whoever ends upon
     * it does so there.
     */
    public boolean isDrained() {
        try {
            for (StreamConnection next = accept(); next != null; next = accept()) {
                accepted(next);
            }
        } catch (IOException e) {
            // Out of descriptors, say: whoever has one goes first.
        }
        return clientConnections.isDrained();
    }

    private StreamConnection accept() throws IOException {
        return server == null ? null : server.accept();
    }

    public void close() {
        worker.getIoThread().execute(clientConnections::stop);
        IoUtils.safeClose(server);
    }

    private void handle(HttpServerExchange client) {
        ClientConnections.Visitor visitor = clientConnections.of(channel(client));
        if (visitor == null) {
            // Danger: what Undertow had read of a connection before the door closed it is still
            // handed on.
            IoUtils.safeClose(channel(client));
            return;
        }
        visitor.headRead();
        client.putAttachment(VISITOR, visitor);
        client.addExchangeCompleteListener(
                (done, next) -> {
                    if (done.getConnection() instanceof AbstractServerConnection its
                            && its.getExtraBytes() != null) {
                        // What is sent ahead is Undertow's to read from now on.
                        its.getChannel().getSourceChannel().suspendReads();
                    }
                    // Danger: what was closed midway ends here too, before its client is seen to
                    // have gone, and
                    // what is out for it would stay out.
                    if (channel(done).isOpen()) {
                        // What is turned away is counted with its answer, as its connection
                        // lingers.
                        if (!isTurnedAway(done.getStatusCode())) {
                            count(done);
                        }
                        visitor.answered();
                    }
                    next.proceed();
                });
        if (client.getRequestPath().equals("/healthz")
                && !client.getRequestHeaders().contains(TRACE)) {
            end(client, draining ? 503 : BackendResponse.OK);
            return;
        }
        if (!isPlain(client)) {
            reject(client, 400);
            return;
        }
        if (client.getRequestContentLength() > LONGEST_BODY) {
            reject(client, 413);
        } else if (client.isRequestComplete()) {
            received(client, new byte[0]);
        } else {
            visitor.upload =
                    new RequestBody(
                            client,
                            bufferBudget,
                            buffers,
                            LONGEST_BODY,
                            config.connectionLimits().stall(),
                            hearer(client, visitor));
            visitor.upload.hold();
        }
    }

    private RequestBody.Hearer hearer(
            HttpServerExchange client, ClientConnections.Visitor visitor) {
        return new RequestBody.Hearer() {
            @Override
            public void held(byte[] body) {
                received(client, body);
            }

            @Override
            public void passes(RequestBody streamedBody) {
                client.dispatch(
                        SameThreadExecutor.INSTANCE, () -> pass(client, visitor, streamedBody));
            }

            @Override
            public void whole() {
                visitor.whole();
                watchForClose((AbstractServerConnection) client.getConnection());
            }

            @Override
            public void letGo() {
                decisionEvents.bodyNotReplayable(visitor.exchange);
            }

            @Override
            public void failed(boolean tooLong) {
                if (tooLong || visitor.exchange == null) {
                    reject(client, tooLong ? 413 : 400);
                } else {
                    IoUtils.safeClose(channel(client));
                }
            }
        };
    }

    /** Decided now and sent as it comes, with all the time that its client needs for it. */
    private void pass(
            HttpServerExchange client,
            ClientConnections.Visitor visitor,
            RequestBody streamedBody) {
        Request usual = exchange(client.getRequestHeaders());
        if (usual == null || !visitor.began(only(client.getRequestHeaders(), TRACE), usual)) {
            reject(client, 400);
            return;
        }
        streamedBody.setResponseTimeoutSeconds(
                Math.min(
                        usual.deadline - usual.arrivedAt,
                        usual.terms.requestClass().latencyObjectiveSeconds()));
        double most = LONGEST / 1e3;
        Request request =
                new Request(
                        usual.id,
                        usual.requestClass,
                        usual.tenant,
                        usual.arrivedAt,
                        most,
                        usual.markedRetry);
        request.terms = usual.terms.withTimeout(most);
        visitor.exchange = request;
        offer(new PendingRequest(request, client, new byte[0], streamedBody));
    }

    private void count(HttpServerExchange answered) {
        metrics.replySent(
                only(answered.getRequestHeaders(), GRADE), reply(answered.getStatusCode()));
    }

    private static boolean isTurnedAway(int status) {
        return status / 100 == 4;
    }

    private static ProxyMetrics.Reply reply(int status) {
        return switch (status) {
            case BackendResponse.OK -> ProxyMetrics.Reply.SUCCESS;
            case 503 -> ProxyMetrics.Reply.OVERLOAD;
            default -> ProxyMetrics.Reply.ERROR;
        };
    }

    /**
     * Danger: what Undertow reads leniently a backend may read in another way, and find a second
     * request.
     */
    private static boolean isPlain(HttpServerExchange client) {
        HeaderMap headers = client.getRequestHeaders();
        // Danger: a body in a coding that is not known has no end, and its request would wait for
        // ever.
        String coding = headers.getFirst(Headers.TRANSFER_ENCODING);
        if ((coding != null && (!coding.equalsIgnoreCase("chunked") || !client.isHttp11()))
                || headers.count(Headers.TRANSFER_ENCODING) + headers.count(Headers.CONTENT_LENGTH)
                        > 1
                || client.isHostIncludedInRequestURI()
                || client.getRequestMethod().equals(Methods.CONNECT)) {
            return false;
        }
        for (HeaderValues values : headers) {
            if (!HttpFieldRules.isToken(values.getHeaderName().toString())) {
                return false;
            }
            for (String value : values) {
                if (!HttpFieldRules.isValue(value)) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Answers what is not read to its end. Danger: an answer without a body would be held back
     * until all of the request has come, and that may be 60 MB, or have no end.
     */
    private void reject(HttpServerExchange client, int status) {
        client.setPersistent(false);
        refuse(
                client,
                status,
                done -> {
                    if (done.isRequestComplete()) {
                        done.endExchange();
                    } else {
                        later(done, () -> IoUtils.safeClose(channel(done)));
                    }
                });
    }

    /**
     * Answers at once what can be read but not used, and reads no more on its connection for a
     * while.
     */
    private void turnAway(HttpServerExchange client) {
        refuse(client, 400, done -> later(done, done::endExchange));
    }

    /** Does it when the door says that the connection has lingered. */
    private void later(HttpServerExchange client, Runnable task) {
        double seconds = client.getAttachment(VISITOR).lingers();
        worker.getIoThread().executeAfter(task, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    private void refuse(HttpServerExchange client, int status, Consumer<HttpServerExchange> then) {
        if (isTurnedAway(status)) {
            client.getAttachment(VISITOR).turnedAway();
        }
        answer(
                client,
                status,
                StatusCodes.getReason(status).getBytes(StandardCharsets.US_ASCII),
                new IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange done, Sender sender) {
                        count(done);
                        then.accept(done);
                    }

                    @Override
                    public void onException(
                            HttpServerExchange failed, Sender sender, IOException e) {
                        IoUtils.safeClose(channel(failed));
                    }
                });
    }

    private static StreamConnection channel(HttpServerExchange client) {
        return ((AbstractServerConnection) client.getConnection()).getChannel();
    }

    private void received(HttpServerExchange client, byte[] body) {
        client.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> {
                    Request request = exchange(client.getRequestHeaders());
                    ClientConnections.Visitor visitor = client.getAttachment(VISITOR);
                    if (request == null
                            || !visitor.began(only(client.getRequestHeaders(), TRACE), request)) {
                        turnAway(client);
                        return;
                    }
                    visitor.whole();
                    AbstractServerConnection connection =
                            (AbstractServerConnection) client.getConnection();
                    watchForClose(connection);
                    if (clientConnections.stoodStill()) {
                        // Danger: what waited while the process stood still may have been left by
                        // its client since.
                        lookAhead(connection);
                    }
                    PendingRequest pending = new PendingRequest(request, client, body, null);
                    visitor.answersOverdue = () -> answerOverdue(pending);
                    offer(pending);
                });
    }

    /** Fails a request that the decisions have not answered by its expiry, whatever keeps them. */
    private void answerOverdue(PendingRequest pending) {
        if (!isClientWaiting(pending)) {
            return;
        }
        Request request = pending.request();
        request.failureReason = FailureReason.OVERDUE;
        metrics.overdueRequestFailed();
        failRequest(pending.exchange(), false, 0);
        decisionEvents.clientLeft(request);
    }

    /** What is to be done before an exchange is decided; set before listening. */
    public void beforeEachRequest(Runnable task) {
        beforeEachRequest = task;
    }

    /**
     * Hands it to the decisions. Where they can't take it in time it waits, or is answered by their
     * word.
     */
    private void offer(PendingRequest pending) {
        beforeEachRequest.run();
        Request request = pending.request();
        double end =
                request.arrivedAt
                        + Math.min(
                                request.deadline - request.arrivedAt,
                                request.terms.requestClass().latencyObjectiveSeconds());
        if (intake.takes()) {
            decisionEvents.requestArrived(pending);
            return;
        }
        ShedThreshold shed =
                intake.isLong()
                        ? decisionEvents.shedThreshold(request.requestClass, end - clock.now())
                        : null;
        if (shed == null) {
            intake.waits(pending, end);
        } else {
            request.failureReason = FailureReason.WAIT_TOO_LONG;
            failRequest(pending.exchange(), true, shed.retryAfterSeconds());
        }
    }

    /** The decisions have room for more. */
    public void requestsDecided(int exchanges, double seconds) {
        intake.decided(exchanges, seconds);
        for (PendingRequest next = intake.next(); next != null; next = intake.next()) {
            decisionEvents.requestArrived(next);
        }
    }

    /** Null where a field is missing, malformed or there twice. */
    private Request exchange(HeaderMap headers) {
        int requestClass = requestClasses.indexOf(only(headers, GRADE));
        int tenant =
                config.tenantNames().isEmpty()
                        ? 0
                        : config.tenantNames().indexOf(only(headers, TENANT));
        int milliseconds = HttpFieldRules.number(only(headers, ProxyHeaders.TIMEOUT), 9);
        if (only(headers, TRACE).isEmpty() || requestClass < 0 || tenant < 0 || milliseconds < 0) {
            return null;
        }
        double arrived = clientConnections.arrival();
        double left = Math.min(Math.min(LONGEST, milliseconds) / 1e3, lastAnswers - arrived);
        Request request =
                new Request(
                        ++taken,
                        requestClass,
                        tenant,
                        arrived,
                        left,
                        only(headers, RETRY).equals("1"));
        request.terms = terms[requestClass];
        return request;
    }

    private static String only(HeaderMap headers, HttpString field) {
        return headers.count(field) == 1 ? headers.getFirst(field) : "";
    }

    /** A client has gone whose exchange is open. */
    private void left(Request request) {
        decisionEvents.clientLeft(request);
    }

    /**
     * Danger: Undertow reads nothing while an answer is awaited, so a client that goes is not seen.
     */
    private static void watchForClose(AbstractServerConnection connection) {
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(channel -> lookAhead(connection));
        connection.getChannel().getSourceChannel().resumeReads();
    }

    /**
     * Reads what is sent ahead of the answer to the request before, a buffer of it, and whether the
     * client has gone behind that. It is used when its turn comes.
     */
    private static void lookAhead(AbstractServerConnection connection) {
        PooledByteBuffer pooled = connection.getExtraBytes();
        boolean fresh = pooled == null;
        pooled = fresh ? connection.getByteBufferPool().allocate() : pooled;
        ByteBuffer buffer = pooled.getBuffer();
        // Danger: what was read ahead already, by Undertow too, stands between the two marks.
        int begin = fresh ? 0 : buffer.position();
        int end = fresh ? 0 : buffer.limit();
        int got = 0;
        try {
            buffer.limit(buffer.capacity()).position(end);
            got = buffer.hasRemaining() ? connection.getOriginalSourceConduit().read(buffer) : 0;
            if (!buffer.hasRemaining()) {
                // Danger: without an end to it one client could fill the memory.
                connection.getChannel().getSourceChannel().suspendReads();
            }
        } catch (IOException e) {
            got = -1;
        }
        buffer.limit(Math.max(end, end + got)).position(begin);
        if (got > 0 && fresh) {
            connection.setExtraBytes(pooled);
        } else if (fresh) {
            pooled.close();
        }
        if (got < 0) {
            IoUtils.safeClose(connection.getChannel());
        }
    }

    /**
     * Whether its client is there and has no answer yet. Danger: whoever has closed is known to
     * have gone once its connection is read, and this may be asked before that where the I/O thread
     * was held up.
     */
    public boolean isClientWaiting(PendingRequest pending) {
        if (isOpen(pending) && pending.exchange().isRequestComplete()) {
            lookAhead((AbstractServerConnection) pending.exchange().getConnection());
        }
        return isOpen(pending);
    }

    private static boolean isOpen(PendingRequest pending) {
        return pending.exchange().getAttachment(VISITOR).exchange == pending.request()
                && !pending.exchange().isResponseStarted();
    }

    /** Passes a backend's answer on. */
    public void deliver(PendingRequest pending, BackendResponse response) {
        HttpServerExchange client = pending.exchange();
        client.getAttachment(VISITOR)
                .brings(pending.request().terms.requestClass().priorityWeight());
        ProxyHeaders.copyEndToEnd(response.headers(), client.getResponseHeaders());
        if (response.remainder() == null) {
            answer(client, BackendResponse.OK, response.body(), IoCallback.END_EXCHANGE);
        } else {
            pass(client, response);
        }
    }

    private void pass(HttpServerExchange client, BackendResponse response) {
        ClientConnections.Visitor visitor = client.getAttachment(VISITOR);
        if (!begin(client, BackendResponse.OK)) {
            response.remainder().abandonResponse();
            return;
        }
        if (response.remainder().declared() >= 0) {
            client.setResponseContentLength(response.remainder().declared());
        }
        BodyRelay relay =
                new BodyRelay(
                        new Begun(response),
                        client.getResponseChannel(),
                        worker.getIoThread(),
                        new BodyRelay.Patience(config.connectionLimits().stall(), 0),
                        visitor::offered,
                        whole -> {
                            visitor.passing = null;
                            if (whole) {
                                response.remainder().passed();
                                client.endExchange();
                            } else {
                                // A visible break: the length is short, or the last chunk is
                                // missing.
                                response.remainder().abandonResponse();
                                metrics.replySent(
                                        only(client.getRequestHeaders(), GRADE),
                                        ProxyMetrics.Reply.ERROR);
                                IoUtils.safeClose(channel(client));
                            }
                        });
        visitor.passing =
                () -> {
                    relay.stop();
                    response.remainder().abandonResponse();
                };
        relay.run();
    }

    /** A long answer from its beginning on. */
    private static final class Begun implements BodyChunks {
        private final BackendResponse response;
        private boolean begun;

        Begun(BackendResponse response) {
            this.response = response;
        }

        @Override
        public ByteBuffer next() throws IOException {
            if (!begun) {
                begun = true;
                return ByteBuffer.wrap(response.body());
            }
            return response.remainder().next();
        }

        @Override
        public boolean isWhole() {
            return begun && response.remainder().isWhole();
        }

        @Override
        public void awaitMore(Runnable then) {
            response.remainder().awaitMore(then);
        }
    }

    /** A shed answer promises that a retry is harmless; a scrapped one promises nothing. */
    public void failRequest(HttpServerExchange client, boolean shed, double retryAfter) {
        Request request = client.getAttachment(VISITOR).exchange;
        if (request != null) {
            endings.notServed(
                    request,
                    only(client.getRequestHeaders(), TRACE),
                    only(client.getRequestHeaders(), GRADE),
                    shed,
                    clock.now());
        }
        if (shed && retryAfter > 0) {
            client.getResponseHeaders()
                    .put(Headers.RETRY_AFTER, String.valueOf(Math.ceil(retryAfter * 1000) / 1000));
        }
        int status = shed ? 503 : 502;
        if (client.isRequestComplete()) {
            end(client, status);
        } else {
            // Danger: an answer without a body would be held back until all of the request has
            // come.
            client.setPersistent(false);
            refuse(client, status, done -> later(done, () -> IoUtils.safeClose(channel(done))));
        }
    }

    private void end(HttpServerExchange client, int status) {
        answer(client, status, new byte[0], IoCallback.END_EXCHANGE);
    }

    /** False where there is an answer already, or nobody to have it. */
    private boolean begin(HttpServerExchange client, int status) {
        ClientConnections.Visitor visitor = client.getAttachment(VISITOR);
        if (client.isResponseStarted() || client.isComplete() || !channel(client).isOpen()) {
            return false;
        }
        if (!visitor.keeps() || draining) {
            client.setPersistent(false);
        } else if (visitor.promise() > 0) {
            client.getResponseHeaders().put(KEEP_ALIVE, "timeout=" + visitor.promise());
        }
        client.setStatusCode(status);
        return true;
    }

    private void answer(HttpServerExchange client, int status, byte[] body, IoCallback then) {
        if (!begin(client, status)) {
            return;
        }
        client.setResponseContentLength(body.length);
        if (body.length == 0) {
            client.endExchange();
        } else {
            client.getResponseSender().send(ByteBuffer.wrap(body), then);
        }
    }
}
