package standin2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend by the protocol page: answers probes, reports its load in every answer, and has a
 * {@link Work} for its requests.
 */
public final class Backend {
    /** What a backend does with a request. */
    public interface Work {
        /** Handles a request, whose last byte has come. */
        void handle(Call call) throws IOException;
    }

    /** A request at a backend. */
    public static final class Call {
        /** The backend. */
        public final Backend backend;

        /** The request. */
        public final Net.Message request;

        /** Its connection. */
        public final Socket socket;

        private final OutputStream out;

        private Call(Backend backend, Net.Message request, Socket socket) throws IOException {
            this.backend = backend;
            this.request = request;
            this.socket = socket;
            out = socket.getOutputStream();
        }

        /** The request's id. */
        public String id() {
            return request.field("x-trace-id");
        }

        /** The request's class. */
        public String grade() {
            return request.field("x-qos");
        }

        /** The bytes of an answer. */
        public byte[] answer(String status, String fields, String body) {
            return ("HTTP/1.1 "
                            + status
                            + "\r\n"
                            + fields
                            + "Endpoint-Load-Metrics: "
                            + report(backend.held.get() - 1)
                            + "\r\n"
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body)
                    .getBytes(StandardCharsets.US_ASCII);
        }

        /** Writes bytes. */
        public void write(byte[] bytes) throws IOException {
            synchronized (out) {
                out.write(bytes);
                out.flush();
            }
        }

        /** Answers 200. */
        public void serve(String body) throws IOException {
            write(answer("200 OK", "", body));
        }

        /** Answers that the request never ran, as the queue is full. */
        public void turnAway() throws IOException {
            write(answer("503 Service Unavailable", "X-Never-Ran: 1\r\n", "full"));
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Its id in the list. */
    public final String id;

    /** Its zone in the list. */
    public final String zone;

    /** Its port. */
    public final int port;

    /** Requests that it holds now. */
    public final AtomicInteger held = new AtomicInteger();

    private final ServerSocket server;
    private final Work work;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** Starts a backend on a free port. */
    public Backend(String id, String zone, Work work) throws IOException {
        this.id = id;
        this.zone = zone;
        this.work = work;
        server = new ServerSocket(0, 512, InetAddress.getByName(Net.HOST));
        port = server.getLocalPort();
        Net.start(id, this::accept);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            sockets.add(socket);
            Net.start(id + "-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Net.Message next = Net.read(in); next != null; next = Net.read(in)) {
                Call call = new Call(this, next, socket);
                if (next.firstLine.startsWith("GET /load ")) {
                    call.write(call.answer("200 OK", "", report(held.get())));
                    continue;
                }
                held.incrementAndGet();
                try {
                    work.handle(call);
                } finally {
                    held.decrementAndGet();
                }
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** A load report; a request that is being answered is not held any more. */
    private static String report(int inflight) {
        return String.format(
                Locale.ROOT,
                "TEXT inflight=%d, queue=0, util=%.2f",
                Math.max(0, inflight),
                Math.max(0, Math.min(1, inflight / 8.0)));
    }

    /** Dies as a process does: its connections are reset, and new ones are refused. */
    public void crash() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
