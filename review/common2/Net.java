package standin2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reading of HTTP/1.1 messages, free ports and the clock that all stand-ins share. */
public final class Net {
    /** All addresses of a case. */
    public static final String HOST = "127.0.0.1";

    private static final long STARTED_AT = System.nanoTime();

    private Net() {}

    /** Milliseconds since the start of the test. */
    public static double now() {
        return (System.nanoTime() - STARTED_AT) / 1e6;
    }

    /** Sleeps for some milliseconds. */
    public static void sleep(double millis) {
        if (millis <= 0) {
            return;
        }
        try {
            Thread.sleep((long) millis, (int) ((millis - (long) millis) * 1e6));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A loopback port that is free now. */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a daemon thread. */
    public static Thread start(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // A connection ended.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits until all threads have ended. */
    public static void join(Iterable<Thread> threads) {
        for (Thread each : threads) {
            try {
                each.join();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** A task that may meet the end of a connection. */
    public interface Task {
        /** Runs the task. */
        void run() throws IOException;
    }

    /** The head and the body of a message. */
    public static final class Message {
        /** The request line or the status line. */
        public String firstLine = "";

        /** The fields, names in lower case. */
        public final Map<String, String> fields = new LinkedHashMap<>();

        /** The whole body. */
        public byte[] body = {};

        /** When the first byte came. */
        public double firstByteAt;

        /** When the last byte came. */
        public double lastByteAt;

        /** A field's value; empty if there is none. */
        public String field(String name) {
            return fields.getOrDefault(name, "");
        }

        /** The status of a response. */
        public int status() {
            return Integer.parseInt(firstLine.substring(9, 12));
        }
    }

    /**
     * Reads a message with a Content-Length, chunked, or without a body; null if the connection
     * ends before its first byte. Throws if it ends in the middle.
     */
    public static Message read(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        Message message = new Message();
        message.firstByteAt = now();
        message.firstLine = (char) first + line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (message.field("transfer-encoding").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = size(in); size > 0; size = size(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (!message.field("content-length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.field("content-length")));
        }
        message.lastByteAt = now();
        return message;
    }

    private static int size(InputStream in) throws IOException {
        return Integer.parseInt(line(in).trim(), 16);
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new IOException("cut short");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("cut short");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
