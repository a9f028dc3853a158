package lemondrift.proxy.admin;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondrift.GoldenFiles;
import lemondrift.metrics.EventLoopMetrics;
import lemondrift.metrics.ProxyMetrics;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests that the responses of the admin address match the reference output byte for byte. */
class AdminCompatibilityTest {
    /** Seconds within which the I/O thread must run a task. */
    private static final long IO_THREAD_TIMEOUT_SECONDS = 5;

    /** A proxy with fixed metrics. */
    private static final class FixedMetricsProxy implements AdminOperations {
        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public boolean isHealthy() {
            return true;
        }

        @Override
        public String tasksJson() {
            return "{}";
        }

        @Override
        public ProxyMetrics.Snapshot metrics() {
            ProxyMetrics metrics = new ProxyMetrics();
            metrics.registerClasses(List.of("read", "write"));
            metrics.requestAccepted();
            metrics.requestAccepted();
            metrics.requestAccepted();
            metrics.requestCompleted();
            metrics.replySent("read", ProxyMetrics.Reply.SUCCESS);
            metrics.replySent("write", ProxyMetrics.Reply.OVERLOAD);
            metrics.replySent("write", ProxyMetrics.Reply.ERROR);
            metrics.attemptSent();
            metrics.setBackendCounts(5, 2);
            metrics.configurationReloaded(true);
            metrics.configurationReloaded(false);
            metrics.configurationReloaded(false);
            return metrics.snapshot();
        }

        @Override
        public String recoveryJson() {
            return null;
        }

        @Override
        public String loopJson() {
            EventLoopMetrics loopMetrics = new EventLoopMetrics();
            for (EventLoopMetrics.Kind kind : EventLoopMetrics.Kind.values()) {
                loopMetrics.eventHandled(kind, 0.25);
            }
            loopMetrics.eventHandled(EventLoopMetrics.Kind.LIST, 0.5);
            loopMetrics.iterationEnded(0.125, 3, 1);
            return loopMetrics.json();
        }

        @Override
        public String notServedJson() {
            return new ProxyMetrics().notServedJson();
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
    void responsesMatchReferenceOutput() throws Exception {
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try {
            AdminServer adminServer =
                    new AdminServer(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), worker);
            StringBuilder responses = new StringBuilder();
            appendAllResponses(adminServer, responses.append("before there is a proxy\n"));
            adminServer.setOperations(new FixedMetricsProxy());
            awaitIoThread(worker);
            appendAllResponses(adminServer, responses.append("with one\n"));
            GoldenFiles.assertText("admin.txt", responses.toString().replace("\r\n", "\n"));
        } finally {
            worker.shutdown();
        }
    }

    /** Waits until the I/O thread has set the operations, so that later calls use them. */
    private static void awaitIoThread(XnioWorker worker) throws InterruptedException {
        CountDownLatch ranTasks = new CountDownLatch(1);
        worker.getIoThread().execute(ranTasks::countDown);
        assertTrue(ranTasks.await(IO_THREAD_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private static void appendAllResponses(AdminServer adminServer, StringBuilder responses)
            throws IOException {
        for (String path :
                List.of("health", "stats", "recovery", "loop", "quiesce", "resume", "nothing")) {
            for (String method : List.of("GET", "PUT")) {
                String request = method + " /admin/" + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
                responses
                        .append("> ")
                        .append(method)
                        .append(' ')
                        .append(path)
                        .append('\n')
                        .append(call(adminServer, request))
                        .append('\n');
            }
        }
    }

    private static String call(AdminServer adminServer, String request) throws IOException {
        try (Socket caller =
                new Socket(InetAddress.getLoopbackAddress(), adminServer.address().getPort())) {
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            caller.getInputStream().transferTo(answer);
            return answer.toString(StandardCharsets.US_ASCII);
        }
    }
}
