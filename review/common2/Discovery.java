package standin2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** An agent of discovery by the protocol page: the whole list, and watches on changes. */
public final class Discovery {
    private record Member(Backend backend, String phase) {}

    /** The agent's port. */
    public final int port;

    /** How long the agent takes for each answer, in milliseconds. */
    public volatile double slowMillis;

    private final Map<String, Member> members = new LinkedHashMap<>();

    /** By revision: the backend whose entry changed. */
    private final TreeMap<Long, String> changes = new TreeMap<>();

    private long revision = 1;

    /** Starts an agent. */
    public Discovery(List<Backend> backends) throws IOException {
        ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName(Net.HOST));
        port = server.getLocalPort();
        backends.forEach(each -> members.put(each.id, new Member(each, "active")));
        Net.start(
                "discovery",
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        Net.start("discovery-connection", () -> serve(socket));
                    }
                });
    }

    /** Changes the phase of a backend; returns when. */
    public synchronized double setPhase(Backend backend, String phase) {
        members.put(backend.id, new Member(backend, phase));
        changes.put(++revision, backend.id);
        notifyAll();
        return Net.now();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Net.Message next = Net.read(in); next != null; next = Net.read(in)) {
                String path = next.firstLine.split(" ")[1];
                int from = path.indexOf("from=");
                if (from >= 0) {
                    long known = Long.parseLong(path.substring(from + 5).split("&")[0]);
                    long hold =
                            Long.parseLong(path.substring(path.indexOf("hold_ms=") + 8).split("&")[0]);
                    awaitNewer(known, Math.min(hold, 60_000));
                    Net.sleep(slowMillis);
                    out.write(response(changesSince(known)));
                } else {
                    Net.sleep(slowMillis);
                    out.write(response(wholeList()));
                }
                out.flush();
            }
        }
    }

    private static byte[] response(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private synchronized void awaitNewer(long known, long holdMillis) {
        double until = Net.now() + holdMillis;
        while (revision <= known && Net.now() < until) {
            try {
                wait(Math.max(1, (long) (until - Net.now())));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private synchronized String changesSince(long known) {
        List<String> entries = new ArrayList<>();
        changes.tailMap(known, false).values().stream()
                .distinct()
                .forEach(id -> entries.add(entry(members.get(id))));
        return list(false, entries);
    }

    /** The whole list in discovery's form. */
    public synchronized String wholeList() {
        List<String> entries = new ArrayList<>();
        members.values().stream()
                .filter(each -> !each.phase.equals("left"))
                .forEach(each -> entries.add(entry(each)));
        return list(true, entries);
    }

    private String list(boolean complete, List<String> entries) {
        return "{\"revision\":"
                + revision
                + ",\"complete\":"
                + complete
                + ",\"members\":["
                + String.join(",", entries)
                + "]}";
    }

    private static String entry(Member member) {
        return "{\"id\":\""
                + member.backend.id
                + "\",\"host_port\":\""
                + Net.HOST
                + ":"
                + member.backend.port
                + "\",\"locality\":\""
                + member.backend.zone
                + "\",\"flavor\":\"std-a\",\"cell\":0,\"phase\":\""
                + member.phase
                + "\",\"size\":1.0,\"up_since_ms\":0}";
    }
}
