package lemondrift.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import lemondrift.lab.simulation.Backend;
import lemondrift.lab.simulation.Scenario;
import lemondrift.lab.simulation.Scheduler;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import org.apache.commons.rng.UniformRandomProvider;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * The backends, all on one I/O thread. Each has one address for each segment of proxies, so that
 * the way there can fail for some of them alone.
 */
final class BackendFleet implements HttpConnection.Hearer, AutoCloseable {
    /** What is known of one connection to a backend. */
    private static final class Line {
        final int segment;
        final int backend;
        Backend.Job job;
        Attempt forward;

        Line(int segment, int backend) {
            this.segment = segment;
            this.backend = backend;
        }
    }

    /** What is asked under such an id is beside the day: answered at once and not judged. */
    static final String ASIDE = "aside-";

    private static final byte[] BODY = "done".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NONE = {};

    private final Scenario scenario;
    private final Scheduler scheduler;
    private final XnioWorker worker;
    private final Supplier<FaultPlan> faults;
    private final OutcomeRecorder recorder;
    private final UniformRandomProvider random;
    private final int mostConnections;
    private final List<AcceptingChannel<StreamConnection>> servers = new ArrayList<>();
    private final InetSocketAddress[][] addresses;
    private final Map<HttpConnection, Line> lines = new HashMap<>();
    final Backend[] backends;

    /** What pushes a cold backend over; set by whoever plays the troubles. */
    IntConsumer fallen = i -> {};

    BackendFleet(
            Scenario scenario,
            int segments,
            int mostConnections,
            Scheduler scheduler,
            XnioWorker worker,
            Supplier<FaultPlan> faults,
            OutcomeRecorder recorder,
            UniformRandomProvider random)
            throws IOException {
        this.scenario = scenario;
        this.scheduler = scheduler;
        this.worker = worker;
        this.faults = faults;
        this.recorder = recorder;
        this.random = random;
        this.mostConnections = mostConnections;
        backends = new Backend[scenario.backends()];
        addresses = new InetSocketAddress[segments][backends.length];
        for (int i = 0; i < backends.length; i++) {
            backends[i] = new Backend(scheduler, scenario.cores(), scenario.settings().rules());
            for (int s = 0; s < segments; s++) {
                addresses[s][i] =
                        new InetSocketAddress(
                                LoopbackAddresses.address(
                                        LoopbackAddresses.BACKENDS, s * backends.length + i),
                                0);
                servers.add(null);
            }
            listens(i);
        }
    }

    /** How many seconds of work of one warm core all that are fit do in a second now. */
    double capacity() {
        return Arrays.stream(backends)
                .filter(Backend::isFit)
                .mapToDouble(each -> scenario.cores() / each.slowness())
                .sum();
    }

    /** Where the proxies of a segment find a backend. */
    InetSocketAddress address(int segment, int backend) {
        return addresses[segment][backend];
    }

    /** Opens a backend's addresses, the same as before where it had them. */
    private void listens(int i) throws IOException {
        for (int s = 0; s < addresses.length; s++) {
            int segment = s;
            AcceptingChannel<StreamConnection> server =
                    worker.createStreamConnectionServer(
                            addresses[s][i],
                            ChannelListeners.openListenerAdapter(
                                    connection ->
                                            lines.put(
                                                    new HttpConnection(connection, this),
                                                    new Line(segment, i))),
                            OptionMap.builder()
                                    .set(Options.TCP_NODELAY, true)
                                    .set(Options.REUSE_ADDRESSES, true)
                                    .set(Options.BACKLOG, 1024)
                                    .getMap());
            addresses[s][i] = server.getLocalAddress(InetSocketAddress.class);
            servers.set(i * addresses.length + s, server);
            server.resumeAccepts();
        }
    }

    /**
     * A backend's process is gone, and with it its connections; or its machine, which says nothing.
     */
    void died(int i, boolean tells) {
        if (tells) {
            for (int s = 0; s < addresses.length; s++) {
                IoUtils.safeClose(servers.get(i * addresses.length + s));
            }
            hangsUp(i);
        }
        recorder.holds(i, 0, false);
    }

    private void hangsUp(int i) {
        Set<HttpConnection> its = new HashSet<>();
        lines.forEach(
                (talk, line) -> {
                    if (line.backend == i) {
                        its.add(talk);
                    }
                });
        its.forEach(
                talk -> {
                    talk.close();
                    lines.remove(talk);
                });
    }

    /** It has started again. */
    void restarted(int i) {
        hangsUp(i);
        if (!servers.get(i * addresses.length).isOpen()) {
            try {
                listens(i);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        recorder.started(i);
        changed(i);
    }

    private void changed(int i) {
        recorder.holds(i, backends[i].held(), backends[i].isFit());
    }

    @Override
    public void heard(HttpConnection talk, String head, byte[] body) {
        Line line = lines.get(talk);
        if (line == null) {
            return;
        }
        double now = scheduler.now();
        double cut = faults.get().cutFromBackend(line.segment, line.backend, now);
        double late = faults.get().lateToBackend(line.segment, line.backend, now);
        if (cut > now || late > 0) {
            scheduler.at(cut + late, () -> comes(talk, line, head));
        } else {
            comes(talk, line, head);
        }
    }

    private void comes(HttpConnection talk, Line line, String head) {
        Backend backend = backends[line.backend];
        String path = head.substring(head.indexOf(' ') + 1);
        String trace = HttpConnection.field(head, "x-trace-id");
        if (!talk.isOpen() || backend.silent > 0) {
            return;
        } else if (trace == null) {
            boolean load = path.startsWith("/load");
            boolean asked = load || path.startsWith("/healthz");
            answers(
                    talk,
                    line,
                    asked ? "200 OK" : "404 Not Found",
                    load ? report(line.backend).getBytes(StandardCharsets.US_ASCII) : NONE,
                    "");
            return;
        }
        OutcomeRecorder.Asked its = recorder.asked(trace);
        if (trace.startsWith(ASIDE)) {
            answers(talk, line, "200 OK", BODY, "");
            return;
        } else if (its == null) {
            answers(talk, line, "400 Unknown", NONE, "");
            return;
        }
        line.forward = recorder.reached(its, line.backend);
        boolean errs =
                random.nextDouble()
                        < Math.max(
                                backend.errors,
                                its.x.requestClassIndex
                                                == scenario.settings().requestClasses().size() - 1
                                        ? backend.classErrors
                                        : 0);
        if (backend.fallsOver(its.work)) {
            recorder.figures().overloadedColdBackends++;
            recorder.ended(line.forward, AttemptOutcome.RESET);
            fallen.accept(line.backend);
        } else if (backend.isFull() || isCrowded(line.backend)) {
            ends(talk, line, AttemptOutcome.OVERLOADED, "503 Full", "\r\nX-Never-Ran: 1");
        } else if (errs) {
            ends(talk, line, AttemptOutcome.ERROR, "500 Error", "");
        } else {
            line.job =
                    backend.take(
                            its.work,
                            ran -> {
                                line.job = null;
                                changed(line.backend);
                                if (ran) {
                                    ends(talk, line, AttemptOutcome.SUCCESS, "200 OK", "");
                                } else {
                                    recorder.ended(line.forward, AttemptOutcome.RESET);
                                }
                            });
            changed(line.backend);
        }
    }

    private boolean isCrowded(int i) {
        return mostConnections > 0
                && lines.values().stream().filter(line -> line.backend == i).count()
                        > mostConnections;
    }

    private void ends(
            HttpConnection talk, Line line, AttemptOutcome outcome, String status, String field) {
        recorder.ended(line.forward, outcome);
        line.forward = null;
        answers(talk, line, status, outcome == AttemptOutcome.SUCCESS ? BODY : NONE, field);
    }

    private void answers(HttpConnection talk, Line line, String status, byte[] body, String field) {
        byte[] message =
                HttpConnection.message(
                        "HTTP/1.1 "
                                + status
                                + "\r\nEndpoint-Load-Metrics: TEXT "
                                + report(line.backend)
                                + field,
                        body);
        double now = scheduler.now();
        double cut = faults.get().cutFromBackend(line.segment, line.backend, now);
        if (cut > now) {
            scheduler.at(cut, () -> talk.write(message));
        } else {
            talk.write(message);
        }
    }

    private String report(int i) {
        return String.format(
                Locale.ROOT,
                "util=%.3f, queue=%d",
                backends[i].utilisation(),
                backends[i].queued());
    }

    @Override
    public void ended(HttpConnection talk) {
        Line line = lines.remove(talk);
        if (line != null && line.job != null) {
            // Who asked has given up: what waits is taken out, what runs goes on to its end for
            // nobody.
            backends[line.backend].drop(line.job);
            recorder.ended(line.forward, AttemptOutcome.CANCELLED);
            changed(line.backend);
        }
    }

    @Override
    public void close() {
        servers.forEach(IoUtils::safeClose);
        lines.keySet().forEach(HttpConnection::close);
        lines.clear();
    }
}
