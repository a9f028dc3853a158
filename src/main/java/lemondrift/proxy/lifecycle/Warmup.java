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
 * Plays made-up exchanges through a proxy of its own before the real one serves, over pipes, so
 * that no socket is opened. Danger: code that has not run yet takes ten times the processor; with a
 * part of a core the first exchanges would be late, and their clients' further tries more than it
 * can ever take.
 */
public final class Warmup {
    private static final Logger LOG = LoggerFactory.getLogger(Warmup.class);
    private static final int CLIENTS = 6;
    private static final int BACKENDS = 4;
    private static final int EXCHANGES = 120;

    /** Seconds that it may take at the most, and that the last answers may. */
    private static final double MOST = 1.5;

    private static final double LAST = 0.5;

    private final ProxyConfig config;
    private final XnioWorker worker;
    private final CountDownLatch left = new CountDownLatch(EXCHANGES);
    private final CountDownLatch quiet = new CountDownLatch(CLIENTS);
    private volatile boolean over;
    private long sent;
    private long told;

    private Warmup(ProxyConfig config, XnioWorker worker) {
        this.config = config;
        this.worker = worker;
    }

    /** Says whether all that was asked had its answer. */
    public static boolean play(ProxyConfig config) throws IOException, InterruptedException {
        XnioWorker worker = ProxyServer.worker();
        Warmup rehearsal = new Warmup(config, worker);
        ProxyServer proxyServer = new ProxyServer(config, worker, rehearsal::dial);
        proxyServer.startWithoutListener(rehearsal.list());
        worker.getIoThread()
                .execute(
                        () -> {
                            for (int i = 0; i < CLIENTS; i++) {
                                rehearsal.client(proxyServer);
                            }
                        });
        rehearsal.left.await((long) (MOST * 1e3), TimeUnit.MILLISECONDS);
        // Danger: forwards that are begun while the threads end would each leave a trace in the
        // log.
        rehearsal.over = true;
        boolean quiet = rehearsal.quiet.await((long) (LAST * 1e3), TimeUnit.MILLISECONDS);
        proxyServer.close();
        LOG.info("rehearsed, {} exchanges", EXCHANGES - rehearsal.left.getCount());
        return quiet;
    }

    private JsonObject list() {
        JsonArray members = new JsonArray();
        for (int i = 0; i < BACKENDS; i++) {
            JsonObject member = new JsonObject();
            member.addProperty("id", "rehearsed-" + i);
            member.addProperty("host_port", "127.0.0.1:" + (i + 1));
            member.addProperty("phase", "active");
            member.addProperty("locality", config.locations().get(0));
            members.add(member);
        }
        JsonObject list = new JsonObject();
        list.addProperty("complete", true);
        list.add("members", members);
        return list;
    }

    private IoFuture<StreamConnection> dial(
            InetSocketAddress to, ChannelListener<StreamConnection> opened) {
        FutureResult<StreamConnection> result = new FutureResult<>();
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe =
                    worker.createFullDuplexPipeConnection();
            talk(pipe.getRightSide(), request -> answer());
            result.setResult(pipe.getLeftSide());
            opened.handleEvent(pipe.getLeftSide());
        } catch (IOException e) {
            result.setException(e);
        }
        return result.getIoFuture();
    }

    /**
     * Danger: the same report each time would be taken for an old one, and nobody would be asked.
     */
    private String answer() {
        double load = 0.1 + ++told % 1000 / 1e4;
        String report =
                config.loadReportFields().stream()
                        .map(name -> name + "=" + load)
                        .collect(Collectors.joining(", ", "TEXT ", ""));
        return "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: "
                + report
                + "\r\nContent-Length: "
                + report.length()
                + "\r\n\r\n"
                + report;
    }

    private void client(ProxyServer proxyServer) {
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe =
                    worker.createFullDuplexPipeConnection();
            talk(
                    pipe.getLeftSide(),
                    answer -> {
                        left.countDown();
                        if (over) {
                            quiet.countDown();
                            return null;
                        }
                        return request();
                    });
            write(pipe.getLeftSide(), request());
            proxyServer.accept(pipe.getRightSide());
        } catch (IOException e) {
            left.countDown();
        }
    }

    private String request() {
        int requestClass = (int) (++sent % config.requestClassNames().size());
        String tenant = config.tenantNames().isEmpty() ? "" : config.tenantNames().get(0);
        boolean pure =
                config.settings().requestClasses().get(requestClass).idempotency()
                        == Idempotency.IDEMPOTENT;
        return (pure ? "GET" : "POST")
                + " /rehearsal HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "
                + sent
                + "\r\nX-Qos: "
                + config.requestClassNames().get(requestClass)
                + "\r\nX-Customer: "
                + tenant
                + "\r\nX-Expires-In-Ms: 5000\r\n"
                + (pure ? "\r\n" : "Content-Length: 1\r\n\r\nx");
    }

    /**
     * Answers what comes, a message at a time, as both sides send no more than one at once; null is
     * none.
     */
    private static void talk(StreamConnection connection, Function<String, String> script) {
        ByteBuffer buffer = ByteBuffer.allocate(4096);
        connection
                .getSourceChannel()
                .setReadListener(
                        source -> {
                            try {
                                int got = source.read(buffer.clear());
                                if (got > 0) {
                                    write(
                                            connection,
                                            script.apply(
                                                    new String(
                                                            buffer.array(),
                                                            0,
                                                            got,
                                                            StandardCharsets.ISO_8859_1)));
                                } else if (got < 0) {
                                    IoUtils.safeClose(connection);
                                }
                            } catch (IOException e) {
                                IoUtils.safeClose(connection);
                            }
                        });
        connection.getSourceChannel().resumeReads();
    }

    private static void write(StreamConnection connection, String text) throws IOException {
        if (text == null) {
            return;
        }
        connection
                .getSinkChannel()
                .write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
