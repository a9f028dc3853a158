package lemondrift.proxy.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemondrift.LandedBytes;
import lemondrift.metrics.EventLoopMetrics;
import lemondrift.metrics.ProxyMetrics;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The answers at the operators' address, byte for byte as the landed program gave them. */
class AdminCompatibilityTest {
    /** A proxy whose figures are all known. */
    private static final class Known implements AdminOperations {
        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public ProxyMetrics.Figures figures() {
            ProxyMetrics tally = new ProxyMetrics();
            tally.grades(List.of("read", "write"));
            tally.taken();
            tally.taken();
            tally.taken();
            tally.ended();
            tally.replied("read", ProxyMetrics.Reply.SUCCESS);
            tally.replied("write", ProxyMetrics.Reply.OVERLOAD);
            tally.replied("write", ProxyMetrics.Reply.ERROR);
            tally.dispatched();
            tally.targets(5, 2);
            tally.reloaded(true);
            tally.reloaded(false);
            tally.reloaded(false);
            return tally.figures();
        }

        @Override
        public String recovery() {
            return null;
        }

        @Override
        public String loop() {
            EventLoopMetrics figures = new EventLoopMetrics();
            for (EventLoopMetrics.Kind kind : EventLoopMetrics.Kind.values()) {
                figures.handles(kind, 0.25);
            }
            figures.handles(EventLoopMetrics.Kind.LIST, 0.5);
            figures.turned(0.125, 3, 1);
            return figures.json();
        }

        @Override
        public boolean quiesce() {
            return true;
        }

        @Override
        public boolean resume() {
            return false;
        }
    }

    @Test
    void answersAreTheSame() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try {
            AdminServer admin = new AdminServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), worker);
            StringBuilder all = new StringBuilder();
            askAll(admin, all.append("before there is a proxy\n"));
            admin.operates(new Known());
            askAll(admin, all.append("with one\n"));
            LandedBytes.assertText("admin.txt", all.toString().replace("\r\n", "\n"));
        } finally {
            worker.shutdown();
        }
    }

    private static void askAll(AdminServer admin, StringBuilder all) throws IOException {
        for (String path : List.of("health", "stats", "recovery", "loop", "quiesce", "resume", "nothing")) {
            for (String method : List.of("GET", "PUT")) {
                String request = method + " /admin/" + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
                all.append("> ").append(method).append(' ').append(path).append('\n')
                        .append(ask(admin, request)).append('\n');
            }
        }
    }

    private static String ask(AdminServer admin, String request) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), admin.address().getPort())) {
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            caller.getInputStream().transferTo(answer);
            return answer.toString(StandardCharsets.US_ASCII);
        }
    }
}
