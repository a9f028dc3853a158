package lemondrift.proxy.lifecycle;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import lemondrift.model.Idempotency;
import lemondrift.proxy.ProxyServer;
import lemondrift.proxy.config.ProxyConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.FutureResult;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;

/**
 * Sends synthetic requests through a separate proxy before the real one serves. Uses pipes, so that
 * no socket is opened. Code that has not run yet takes ten times the processor time. Without a
 * warm-up the first requests would be late, and the retries of their clients would exceed the part
 * of a core that the proxy has.
 *
 * <p>The caller's thread waits. Clients and backends run on the I/O thread of the warm-up.
 */
public final class Warmup {
    private static final Logger LOG = LoggerFactory.getLogger(Warmup.class);

    /** Number of clients. Each sends one request at a time. */
    private static final int CLIENTS = 6;

    /** Number of backends. */
    private static final int BACKENDS = 4;

    /** Number of requests to send if time permits. */
    private static final int REQUESTS = 120;

    /** Maximum time for the requests, in seconds. */
    private static final double MAX_SECONDS = 1.5;

    /** Maximum time after that for the responses to the last requests, in seconds. */
    private static final double FINAL_RESPONSES_SECONDS = 0.5;

    /** Maximum length of a request or response, in bytes. */
    private static final int MAX_MESSAGE_BYTES = 4096;

    private final ProxyConfig config;
    private final XnioWorker worker;
    private final CountDownLatch remainingRequests = new CountDownLatch(REQUESTS);

    /** Counts the clients that still wait for their last response. */
    private final CountDownLatch busyClients = new CountDownLatch(CLIENTS);

    /** Set when clients must not send any more requests. */
    private volatile boolean stopping;

    /** I/O thread only. */
    private long requestsSent;

    /** I/O thread only. */
    private long responsesSent;

    private Warmup(ProxyConfig config, XnioWorker worker) {
        this.config = config;
        this.worker = worker;
    }

    /**
     * Warms the code up. Returns after two seconds at the latest.
     *
     * @return true if every request that was sent got a response
     * @throws IOException if the worker of the warm-up cannot be created
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public static boolean run(ProxyConfig config) throws IOException, InterruptedException {
        XnioWorker worker = ProxyServer.createWorker();
        Warmup warmup = new Warmup(config, worker);
        ProxyServer proxyServer = new ProxyServer(config, worker, warmup::connectBackend);
        proxyServer.startWithoutListener(warmup.endpointList());
        worker.getIoThread()
                .execute(
                        () -> {
                            for (int client = 0; client < CLIENTS; client++) {
                                warmup.startClient(proxyServer);
                            }
                        });
        warmup.remainingRequests.await((long) (MAX_SECONDS * 1e3), TimeUnit.MILLISECONDS);
        // Guards against a log line for each attempt that starts while the threads are stopping.
        warmup.stopping = true;
        boolean allAnswered =
                warmup.busyClients.await(
                        (long) (FINAL_RESPONSES_SECONDS * 1e3), TimeUnit.MILLISECONDS);
        proxyServer.close();
        LOG.info("warmed up, {} requests", REQUESTS - warmup.remainingRequests.getCount());
        return allAnswered;
    }

    private JsonObject endpointList() {
        JsonArray members = new JsonArray();
        for (int backend = 0; backend < BACKENDS; backend++) {
            JsonObject member = new JsonObject();
            member.addProperty("id", "warm-up-" + backend);
            member.addProperty("host_port", "127.0.0.1:" + (backend + 1));
            member.addProperty("phase", "active");
            member.addProperty("locality", config.locations().get(0));
            members.add(member);
        }
        JsonObject list = new JsonObject();
        list.addProperty("complete", true);
        list.add("members", members);
        return list;
    }

    private IoFuture<StreamConnection> connectBackend(
            InetSocketAddress address, ChannelListener<StreamConnection> opened) {
        FutureResult<StreamConnection> result = new FutureResult<>();
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe =
                    worker.createFullDuplexPipeConnection();
            replyToEachMessage(pipe.getRightSide(), request -> nextResponse());
            result.setResult(pipe.getLeftSide());
            opened.handleEvent(pipe.getLeftSide());
        } catch (IOException e) {
            result.setException(e);
        }
        return result.getIoFuture();
    }

    /**
     * Builds the next response. Each reports a different load, because a repeated load report is
     * taken for an old one.
     */
    private String nextResponse() {
        double load = 0.1 + ++responsesSent % 1000 / 1e4;
        String report =
                config.loadReportFields().stream()
                        .map(field -> field + "=" + load)
                        .collect(Collectors.joining(", ", "TEXT ", ""));
        return "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: "
                + report
                + "\r\nContent-Length: "
                + report.length()
                + "\r\n\r\n"
                + report;
    }

    private void startClient(ProxyServer proxyServer) {
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe =
                    worker.createFullDuplexPipeConnection();
            replyToEachMessage(
                    pipe.getLeftSide(),
                    response -> {
                        remainingRequests.countDown();
                        if (stopping) {
                            busyClients.countDown();
                            return null;
                        }
                        return nextRequest();
                    });
            write(pipe.getLeftSide(), nextRequest());
            proxyServer.accept(pipe.getRightSide());
        } catch (IOException e) {
            remainingRequests.countDown();
        }
    }

    private String nextRequest() {
        int requestClass = (int) (++requestsSent % config.requestClassNames().size());
        String tenant = config.tenantNames().isEmpty() ? "" : config.tenantNames().get(0);
        boolean idempotent =
                config.settings().requestClasses().get(requestClass).idempotency()
                        == Idempotency.IDEMPOTENT;
        return (idempotent ? "GET" : "POST")
                + " /warm-up HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "
                + requestsSent
                + "\r\nX-Qos: "
                + config.requestClassNames().get(requestClass)
                + "\r\nX-Customer: "
                + tenant
                + "\r\nX-Expires-In-Ms: 5000\r\n"
                + (idempotent ? "\r\n" : "Content-Length: 1\r\n\r\nx");
    }

    /**
     * Replies to each message that is read. A read contains exactly one message because neither
     * side sends a second one before the reply.
     *
     * @param reply returns the reply to a message, or null for none
     */
    private static void replyToEachMessage(
            StreamConnection connection, Function<String, String> reply) {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
        connection
                .getSourceChannel()
                .setReadListener(
                        source -> {
                            try {
                                int length = source.read(buffer.clear());
                                if (length > 0) {
                                    write(connection, reply.apply(text(buffer, length)));
                                } else if (length < 0) {
                                    IoUtils.safeClose(connection);
                                }
                            } catch (IOException e) {
                                IoUtils.safeClose(connection);
                            }
                        });
        connection.getSourceChannel().resumeReads();
    }

    private static String text(ByteBuffer buffer, int length) {
        return new String(buffer.array(), 0, length, StandardCharsets.ISO_8859_1);
    }

    /** Writes a message, or nothing if it is null. */
    private static void write(StreamConnection connection, String message) throws IOException {
        if (message == null) {
            return;
        }
        connection
                .getSinkChannel()
                .write(ByteBuffer.wrap(message.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
