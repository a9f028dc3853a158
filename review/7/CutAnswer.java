package case7;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import standin2.Backend;
import standin2.Case;
import standin2.Client;
import standin2.Discovery;
import standin2.Net;
import standin2.Proxy;
import standin2.Settings;

/** Long answers whose connection is reset in the middle. */
public final class CutAnswer {
    private static final String GRADE = "cutout";
    private static final int EXPIRY_MILLIS = 880;
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int CHUNKS = 20;

    /** One answer in so many is reset on the way. */
    private static final int RESET_EVERY = 4;

    private static final int REQUESTS = 80;

    private final Case frame;
    private final AtomicInteger resets = new AtomicInteger();

    /** How an answer ended for its client. */
    private record End(int status, String framing, boolean whole, int bytes) {}

    private CutAnswer(Case frame) {
        this.frame = frame;
    }

    public static void main(String[] arguments) throws IOException {
        Case.main(Path.of(arguments[0]), frame -> new CutAnswer(frame).run());
    }

    private void work(Backend.Call call) throws IOException {
        boolean isReset =
                frame.trouble && ThreadLocalRandom.current().nextInt(RESET_EVERY) == 0;
        String head = new String(call.answer("200 OK", "", ""), StandardCharsets.US_ASCII);
        call.write(
                head.replace("Content-Length: 0", "Transfer-Encoding: chunked")
                        .getBytes(StandardCharsets.US_ASCII));
        String chunk =
                Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
        for (int number = 0; number < CHUNKS; number++) {
            if (isReset && number == CHUNKS / 2) {
                Net.sleep(ThreadLocalRandom.current().nextDouble(20, 60));
                resets.incrementAndGet();
                frame.record(
                        "%s resets its answer to %s after %d of %d bytes",
                        call.backend.id, call.id(), number * CHUNK_BYTES, CHUNKS * CHUNK_BYTES);
                call.reset();
                return;
            }
            call.write(chunk.getBytes(StandardCharsets.US_ASCII));
        }
        call.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Asks on a connection of its own, and reads the answer as RFC 9112 says. */
    private static End ask(Proxy proxy, String id, boolean closes) throws IOException {
        try (Client client = new Client(proxy.port)) {
            client.socket.setSoTimeout(5000);
            String request =
                    new String(
                            Client.request(id, GRADE, EXPIRY_MILLIS, null),
                            StandardCharsets.US_ASCII);
            client.write(
                    request.replace("Host:", (closes ? "Connection: close\r\n" : "") + "Host:")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = client.socket.getInputStream();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            byte[] piece = new byte[16 * 1024];
            boolean closed = false;
            while (true) {
                String text = all.toString(StandardCharsets.ISO_8859_1);
                int bodyAt = text.indexOf("\r\n\r\n") + 4;
                if (bodyAt >= 4) {
                    String head = text.substring(0, bodyAt).toLowerCase(Locale.ROOT);
                    int status = Integer.parseInt(head.substring(9, 12));
                    int bytes = text.length() - bodyAt;
                    if (head.contains("\r\ntransfer-encoding: chunked")) {
                        boolean whole = text.endsWith("\r\n0\r\n\r\n");
                        if (whole || closed) {
                            int payload = (int) text.chars().filter(each -> each == 'x').count();
                            return new End(status, "chunked", whole, payload);
                        }
                    } else if (head.contains("\r\ncontent-length: ")) {
                        int length =
                                Integer.parseInt(
                                        head.split("\r\ncontent-length: ")[1].split("\r\n")[0]);
                        if (bytes >= length || closed) {
                            return new End(status, "length", bytes >= length, bytes);
                        }
                    } else if (closed) {
                        // Without a length the body ends where the connection is closed; a reset
                        // is no end.
                        return new End(status, "until the close", true, bytes);
                    }
                }
                if (closed) {
                    throw new IOException("closed without an answer");
                }
                try {
                    int count = in.read(piece);
                    closed = count < 0;
                    all.write(piece, 0, Math.max(0, count));
                } catch (IOException e) {
                    return new End(0, "reset", false, all.size());
                }
            }
        }
    }

    private int run() throws IOException {
        List<Backend> backends = new ArrayList<>();
        for (String id : List.of("s-a", "s-b", "s-c")) {
            backends.add(new Backend(id, "muc-nord", this::work));
        }
        Discovery discovery = new Discovery(backends);
        Settings settings = new Settings().grade(GRADE, "retryable", 350, EXPIRY_MILLIS, 0);
        Proxy proxy = new Proxy(frame, 0, settings, discovery);
        int broken = 0;
        int whole = 0;
        int notWhole = 0;
        for (int number = 0; number < REQUESTS; number++) {
            String id = Client.newId();
            boolean closes = number % 2 == 1;
            End end = ask(proxy, id, closes);
            if (end.status == 200 && end.whole) {
                whole++;
                if (end.bytes != CHUNKS * CHUNK_BYTES) {
                    broken++;
                    frame.record(
                            "CUT: %s (client says close: %s) got 200 and a whole body, framed by %s,"
                                    + " of %d bytes; the backend's has %d",
                            id, closes, end.framing, end.bytes, CHUNKS * CHUNK_BYTES);
                }
            } else {
                notWhole++;
                frame.record(
                        "%s (client says close: %s) got %s, status %d, and can tell that it is not"
                                + " served",
                        id, closes, end.framing, end.status);
            }
            Net.sleep(50);
        }
        boolean alive = proxy.isAlive();
        proxy.end();
        frame.record(
                "requests %d, answers reset %d, answers that look whole %d, of them cut %d, others"
                        + " %d",
                REQUESTS, resets.get(), whole, broken, notWhole);
        if (!alive || whole < REQUESTS / 2) {
            throw new IOException("the proxy did not serve");
        }
        return broken;
    }
}
