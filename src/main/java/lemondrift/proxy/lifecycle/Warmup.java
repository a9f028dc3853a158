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
 * Plays made-up requests through a proxy of its own before the real one serves, over pipes, so that
 * no socket is opened. Code that has not run yet takes ten times the processor; without a warm-up
 * the first requests would be late, and their clients' retries more than a part of a core can take.
 *
 * <p>The caller's thread waits; clients and backends live on the warm-up's own I/O thread.
 */
public final class Warmup {
    private static final Logger LOG = LoggerFactory.getLogger(Warmup.class);

    /** How many clients send, one request at a time each. */
    private static final int CLIENTS = 6;

    /** How many backends respond. */
    private static final int BACKENDS = 4;

    /** How many requests are played where there is time for all. */
    private static final int REQUESTS = 120;

    /** Seconds that the requests may take. */
    private static final double MAX_SECONDS = 1.5;

    /** Seconds that the responses to the last requests may take after that. */
    private static final double FINAL_RESPONSES_SECONDS = 0.5;

    /** Longest message of either side, in bytes. */
    private static final int MAX_MESSAGE_BYTES = 4096;

    private final ProxyConfig config;
    private final XnioWorker worker;
    private final CountDownLatch remainingRequests = new CountDownLatch(REQUESTS);

    /** Counts the clients whose last response has come. */
    private final CountDownLatch busyClients = new CountDownLatch(CLIENTS);

    /** Whether clients are to send nothing more. */
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
     * Warms the code up and returns when that is over, after two seconds at the latest.
     *
     * @return whether every request that was sent had its response
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
        // Guards against a log line for each attempt that begins while the threads end.
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

    /** Each with another load, as a report that repeats is taken for an old one. */
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
     * Replies to what is read, a message at a time: neither side sends a second one before the
     * reply.
     *
     * @param reply the reply to a message, or null for none
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

    /** Writes a message; nothing where it is null. */
    private static void write(StreamConnection connection, String message) throws IOException {
        if (message == null) {
            return;
        }
        connection
                .getSinkChannel()
                .write(ByteBuffer.wrap(message.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
