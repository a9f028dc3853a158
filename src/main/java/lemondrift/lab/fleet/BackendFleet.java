package lemondrift.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntConsumer;
import lemondrift.lab.simulation.Backend;
import lemondrift.lab.simulation.Scenario;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * The backends, which all run on the testbed's I/O thread. Each backend listens on one address per
 * segment of proxies, so that a network fault can affect the connections of some proxies only.
 */
final class BackendFleet implements AutoCloseable {
    private static final OptionMap SERVER_OPTIONS =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.REUSE_ADDRESSES, true)
                    .set(Options.BACKLOG, 1024)
                    .getMap();

    /** Indexed by backend number. */
    final Backend[] backends;

    private final TestbedContext context;

    /** The fault plan at the start of the testbed. Its segments stay in use for all runs. */
    private final FaultPlan initialPlan;

    private final BackendRequestHandler requestHandler;

    /** Indexed by segment, then by backend. */
    private final InetSocketAddress[][] addresses;

    /**
     * Indexed by segment, then by backend. A channel is closed while the backend's process is down.
     */
    private final List<List<AcceptingChannel<StreamConnection>>> servers = new ArrayList<>();

    /**
     * Starts all backends.
     *
     * @param maxConnections how many connections a backend may hold before it rejects requests; 0
     *     means no limit
     * @throws IOException if an address cannot be bound
     */
    BackendFleet(TestbedContext context, int maxConnections) throws IOException {
        this.context = context;
        initialPlan = context.faultPlan();
        Scenario scenario = context.scenario();
        backends = new Backend[scenario.backends()];
        Arrays.setAll(
                backends,
                backend ->
                        new Backend(
                                context.scheduler(),
                                scenario.cores(),
                                scenario.settings().rules()));
        requestHandler = new BackendRequestHandler(context, backends, maxConnections);
        addresses = new InetSocketAddress[initialPlan.segmentCount()][backends.length];
        for (int segment = 0; segment < addresses.length; segment++) {
            servers.add(new ArrayList<>());
            for (int backend = 0; backend < backends.length; backend++) {
                int number = segment * backends.length + backend;
                addresses[segment][backend] =
                        new InetSocketAddress(
                                LoopbackAddresses.address(LoopbackAddresses.Range.BACKENDS, number),
                                0);
                servers.get(segment).add(listen(segment, backend));
            }
        }
    }

    /** Listens on one address of a backend, on its earlier port if it had one. */
    private AcceptingChannel<StreamConnection> listen(int segment, int backend) throws IOException {
        AcceptingChannel<StreamConnection> server =
                HttpConnection.listen(
                        context.worker(),
                        addresses[segment][backend],
                        SERVER_OPTIONS,
                        stream -> requestHandler.accept(stream, segment, backend));
        addresses[segment][backend] = server.getLocalAddress(InetSocketAddress.class);
        return server;
    }

    /** Sets the listener that receives the number of each cold backend that becomes overloaded. */
    void setOverloadListener(IntConsumer listener) {
        requestHandler.setOverloadListener(listener);
    }

    /**
     * Returns the present capacity of all available backends, in seconds of work of one warm core
     * per second; 0 if no backend is available.
     */
    double capacity() {
        return Arrays.stream(backends)
                .filter(Backend::isAvailable)
                .mapToDouble(backend -> context.scenario().cores() / backend.serviceTimeFactor())
                .sum();
    }

    /** Returns the address at which a proxy reaches a backend. */
    InetSocketAddress addressForProxy(int proxy, int backend) {
        return addresses[initialPlan.segmentOf(proxy)][backend];
    }

    /** Simulates the end of a backend's process: closes its addresses and connections. */
    void crash(int backend) {
        for (List<AcceptingChannel<StreamConnection>> channels : servers) {
            IoUtils.safeClose(channels.get(backend));
        }
        requestHandler.closeConnections(backend);
        context.recorder().recordBackendLoad(backend, 0, false);
    }

    /**
     * Simulates a backend whose machine has become unreachable: its connections stay open, but no
     * data arrives on them.
     */
    void vanish(int backend) {
        context.recorder().recordBackendLoad(backend, 0, false);
    }

    /**
     * Simulates the restart of a backend's process: closes its old connections and listens on its
     * addresses again.
     *
     * @throws UncheckedIOException if an address cannot be bound
     */
    void restart(int backend) {
        requestHandler.closeConnections(backend);
        for (int segment = 0; segment < servers.size(); segment++) {
            if (!servers.get(segment).get(backend).isOpen()) {
                try {
                    servers.get(segment).set(backend, listen(segment, backend));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }
        context.recorder().recordBackendStart(backend);
        requestHandler.recordLoad(backend);
    }

    @Override
    public void close() {
        servers.forEach(channels -> channels.forEach(IoUtils::safeClose));
        requestHandler.close();
    }
}
