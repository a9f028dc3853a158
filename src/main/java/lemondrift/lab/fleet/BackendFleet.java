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
 * The backends, all on the testbed's I/O thread. Each listens at one address for each segment of
 * proxies, so that the network between can fail for some proxies alone.
 */
final class BackendFleet implements AutoCloseable {
    private static final OptionMap SERVER_OPTIONS =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.REUSE_ADDRESSES, true)
                    .set(Options.BACKLOG, 1024)
                    .getMap();

    /** By the backend's number. */
    final Backend[] backends;

    private final TestbedContext context;

    /** The plan at the start, whose segments stay for all days. */
    private final FaultPlan initialPlan;

    private final BackendRequestHandler requestHandler;

    /** By segment and backend. */
    private final InetSocketAddress[][] addresses;

    /** By segment and backend; closed while the backend's process is down. */
    private final List<List<AcceptingChannel<StreamConnection>>> servers = new ArrayList<>();

    /**
     * Starts all backends.
     *
     * @param maxConnections that a backend holds before it rejects requests; 0 is any number
     * @throws IOException where an address cannot be bound
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

    /** Opens one address of a backend, with the same port as before where it had one. */
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

    /** Sets who is notified when a cold backend is overloaded. */
    void setOverloadListener(IntConsumer listener) {
        requestHandler.setOverloadListener(listener);
    }

    /** Seconds of work of one warm core that all fit backends do in a second now. */
    double capacity() {
        return Arrays.stream(backends)
                .filter(Backend::isAvailable)
                .mapToDouble(backend -> context.scenario().cores() / backend.serviceTimeFactor())
                .sum();
    }

    /** Where a proxy finds a backend. */
    InetSocketAddress addressForProxy(int proxy, int backend) {
        return addresses[initialPlan.segmentOf(proxy)][backend];
    }

    /** A backend's process has ended: its addresses and connections are closed. */
    void crash(int backend) {
        for (List<AcceptingChannel<StreamConnection>> channels : servers) {
            IoUtils.safeClose(channels.get(backend));
        }
        requestHandler.closeConnections(backend);
        context.recorder().recordBackendLoad(backend, 0, false);
    }

    /** A backend's machine has vanished: its connections stay open and nothing comes on them. */
    void vanish(int backend) {
        context.recorder().recordBackendLoad(backend, 0, false);
    }

    /** A backend's process has started again. */
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
