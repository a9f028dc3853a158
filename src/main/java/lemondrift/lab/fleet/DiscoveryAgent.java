package lemondrift.lab.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemondrift.lab.simulation.Scheduler;
import lemondrift.model.EndpointUpdate;
import org.xnio.StreamConnection;

/**
 * The discovery agent of one proxy. It stores the endpoint changes that it has received and sends
 * them to its proxy. I/O thread only.
 */
final class DiscoveryAgent implements HttpConnection.Listener {
    private static final Pattern WATCH_REQUEST =
            Pattern.compile("GET /v1/servers\\?from=(\\d+)&hold_ms=(\\d+) .*", Pattern.DOTALL);

    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * The least time between two received changes; keeps changes in order that would otherwise be
     * received at the same time.
     */
    private static final double MIN_SECONDS_BETWEEN_CHANGES = 1e-4;

    private final TestbedContext context;
    private final int proxy;
    private final EndpointListWriter listWriter;
    private final List<EndpointChange> received = new ArrayList<>();
    private final Set<HttpConnection> connections = new HashSet<>();
    private double latestReceiveAt;

    /** The connection on which the proxy waits for the next change; empty if it does not wait. */
    private Optional<HttpConnection> watching = Optional.empty();

    /** The revision that the waiting proxy has. */
    private int watchedRevision;

    private Scheduler.Entry watchTimeout;

    DiscoveryAgent(TestbedContext context, int proxy, EndpointListWriter listWriter) {
        this.context = context;
        this.proxy = proxy;
        this.listWriter = listWriter;
    }

    void accept(StreamConnection stream) {
        connections.add(new HttpConnection(stream, this));
    }

    /**
     * Schedules the receipt of a change for a time in seconds of the scheduler, but after all
     * changes that were scheduled before.
     */
    void receiveAt(double time, EndpointChange change) {
        latestReceiveAt = Math.max(latestReceiveAt + MIN_SECONDS_BETWEEN_CHANGES, time);
        context.scheduler().at(latestReceiveAt, () -> receive(change));
    }

    private void receive(EndpointChange change) {
        received.add(change);
        if (watching.isPresent()) {
            answerWatch();
        }
    }

    @Override
    public void onMessage(HttpConnection connection, String head, byte[] body) {
        Matcher watch = WATCH_REQUEST.matcher(head);
        if (!watch.matches()) {
            sendThroughFaults(connection, () -> sendFullList(connection));
            return;
        }
        watching = Optional.of(connection);
        watchedRevision = Integer.parseInt(watch.group(1));
        double holdSeconds = Integer.parseInt(watch.group(2)) / MILLIS_PER_SECOND;
        watchTimeout = context.scheduler().after(holdSeconds, this::answerWatch);
        if (watchedRevision != received.size()) {
            answerWatch();
        }
    }

    private void answerWatch() {
        HttpConnection connection = watching.orElseThrow();
        endWatch();
        // Guards against a restarted proxy that names a revision which this agent never had.
        int since = Math.min(watchedRevision, received.size());
        sendThroughFaults(connection, () -> sendChanges(connection, since));
    }

    private void endWatch() {
        watching = Optional.empty();
        watchTimeout.cancel();
    }

    /** Sends when the faults of the network between agent and proxy allow it. */
    private void sendThroughFaults(HttpConnection connection, Runnable send) {
        double now = context.scheduler().now();
        double cutUntil = context.faultPlan().discoveryCutUntil(proxy, now);
        double delaySeconds = context.faultPlan().discoveryDelaySeconds(proxy, now);
        if (cutUntil > now) {
            context.scheduler().at(cutUntil, () -> sendThroughFaults(connection, send));
        } else if (delaySeconds > 0) {
            context.scheduler().after(delaySeconds, () -> sendIfOpen(connection, send));
        } else {
            sendIfOpen(connection, send);
        }
    }

    private static void sendIfOpen(HttpConnection connection, Runnable send) {
        if (connection.isOpen()) {
            send.run();
        }
    }

    private void sendFullList(HttpConnection connection) {
        List<EndpointChange> endpoints = endpoints();
        recordSent(endpoints);
        send(connection, listWriter.writeFullList(proxy, received.size(), endpoints));
    }

    private void sendChanges(HttpConnection connection, int since) {
        List<EndpointChange> changes = received.subList(since, received.size());
        recordSent(changes);
        send(connection, listWriter.writeChanges(proxy, received.size(), changes));
    }

    private void recordSent(List<EndpointChange> changes) {
        for (EndpointChange change : changes) {
            boolean ready = change.state() == EndpointUpdate.State.READY;
            context.recorder().recordEndpointState(proxy, change.backend(), ready);
        }
    }

    private static void send(HttpConnection connection, String list) {
        connection.write(
                HttpConnection.encodeMessage(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json",
                        list.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Returns the complete endpoint list as known to this agent, in the JSON of the discovery
     * protocol.
     */
    String fullListJson() {
        return listWriter.writeFullList(proxy, received.size(), endpoints());
    }

    private List<EndpointChange> endpoints() {
        Map<Integer, EndpointChange> latest = new HashMap<>();
        for (int backend = 0; backend < context.scenario().backends(); backend++) {
            latest.put(backend, new EndpointChange(backend, EndpointUpdate.State.READY, 0));
        }
        received.forEach(change -> latest.put(change.backend(), change));
        return latest.values().stream()
                .filter(endpoint -> endpoint.state() != EndpointUpdate.State.GONE)
                .toList();
    }

    @Override
    public void onClosed(HttpConnection connection) {
        connections.remove(connection);
        if (watching.isPresent() && watching.get() == connection) {
            endWatch();
        }
    }

    void close() {
        connections.forEach(HttpConnection::close);
    }
}
