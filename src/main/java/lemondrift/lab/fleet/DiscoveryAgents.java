package lemondrift.lab.fleet;

import java.io.IOException;
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
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lemondrift.lab.simulation.Scenario;
import lemondrift.lab.simulation.Scheduler;
import lemondrift.model.EndpointUpdate;
import org.apache.commons.rng.UniformRandomProvider;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Discovery's agents, one beside each proxy. Each is told of a change after a delay of its own, in
 * order, and tells its proxy what it has been told. I/O thread only.
 */
final class DiscoveryAgents implements AutoCloseable {
    private static final Pattern WATCH =
            Pattern.compile("GET /v1/servers\\?from=(\\d+)&hold_ms=(\\d+) .*", Pattern.DOTALL);

    /** Seconds that keep two changes to one agent apart. */
    private static final double IN_ORDER = 1e-4;

    private record Change(int backend, EndpointUpdate.State state, long upSince) {}

    /** What one agent has been told, and the proxy that waits for more. */
    private final class Agent implements HttpConnection.Hearer {
        final int proxy;
        final List<Change> told = new ArrayList<>();
        final Set<HttpConnection> talks = new HashSet<>();
        double latest;
        HttpConnection waits;
        int from;
        Scheduler.Entry end;

        Agent(int proxy) {
            this.proxy = proxy;
        }

        void isTold(Change change) {
            told.add(change);
            if (waits != null) {
                answersWatch();
            }
        }

        @Override
        public void heard(HttpConnection talk, String head, byte[] body) {
            Matcher watch = WATCH.matcher(head);
            if (!watch.matches()) {
                later(talk, () -> answers(talk, true, whole()));
                return;
            }
            waits = talk;
            from = Integer.parseInt(watch.group(1));
            end = scheduler.after(Integer.parseInt(watch.group(2)) / 1000.0, this::answersWatch);
            if (from != told.size()) {
                answersWatch();
            }
        }

        private void answersWatch() {
            HttpConnection talk = waits;
            waits = null;
            end.cancel();
            // Guards against a revision that a restarted proxy names and this agent never had.
            int since = Math.min(from, told.size());
            later(talk, () -> answers(talk, false, told.subList(since, told.size())));
        }

        private void later(HttpConnection talk, Runnable then) {
            double now = scheduler.now();
            double cut = faults.get().cutFromDiscovery(proxy, now);
            double late = faults.get().lateFromDiscovery(proxy, now);
            if (cut > now) {
                scheduler.at(cut, () -> later(talk, then));
            } else if (late > 0) {
                scheduler.after(late, () -> says(talk, then));
            } else {
                says(talk, then);
            }
        }

        private void says(HttpConnection talk, Runnable then) {
            if (talk.isOpen()) {
                then.run();
            }
        }

        /** The list as this proxy's agent has it. */
        List<Change> whole() {
            Map<Integer, Change> latest = new HashMap<>();
            IntStream.range(0, scenario.backends())
                    .forEach(i -> latest.put(i, new Change(i, EndpointUpdate.State.READY, 0)));
            told.forEach(each -> latest.put(each.backend, each));
            return latest.values().stream()
                    .filter(each -> each.state != EndpointUpdate.State.GONE)
                    .toList();
        }

        private void answers(HttpConnection talk, boolean whole, List<Change> changes) {
            changes.forEach(
                    each ->
                            recorder.told(
                                    proxy, each.backend, each.state == EndpointUpdate.State.READY));
            talk.write(
                    HttpConnection.message(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json",
                            list(proxy, told.size(), whole, changes)
                                    .getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        public void ended(HttpConnection talk) {
            talks.remove(talk);
            if (waits == talk) {
                waits = null;
                end.cancel();
            }
        }
    }

    private final Scenario scenario;
    private final BackendFleet backendFleet;
    private final int[] segments;
    private final Scheduler scheduler;
    private final Supplier<FaultPlan> faults;
    private final OutcomeRecorder recorder;
    private final UniformRandomProvider random;
    private final Agent[] agents;
    private final List<AcceptingChannel<StreamConnection>> servers = new ArrayList<>();
    private double silentUntil;

    DiscoveryAgents(
            Scenario scenario,
            BackendFleet backendFleet,
            int[] segments,
            Scheduler scheduler,
            XnioWorker worker,
            Supplier<FaultPlan> faults,
            OutcomeRecorder recorder,
            UniformRandomProvider random)
            throws IOException {
        this.scenario = scenario;
        this.backendFleet = backendFleet;
        this.segments = segments;
        this.scheduler = scheduler;
        this.faults = faults;
        this.recorder = recorder;
        this.random = random;
        agents = new Agent[scenario.proxies()];
        Arrays.setAll(agents, Agent::new);
        for (Agent each : agents) {
            AcceptingChannel<StreamConnection> server =
                    worker.createStreamConnectionServer(
                            new InetSocketAddress(
                                    LoopbackAddresses.address(
                                            LoopbackAddresses.DISCOVERY, each.proxy),
                                    0),
                            ChannelListeners.openListenerAdapter(
                                    connection ->
                                            each.talks.add(new HttpConnection(connection, each))),
                            OptionMap.builder().set(Options.TCP_NODELAY, true).getMap());
            server.resumeAccepts();
            servers.add(server);
        }
    }

    InetSocketAddress address(int proxy) {
        return servers.get(proxy).getLocalAddress(InetSocketAddress.class);
    }

    /** The list that a proxy is started with, as its agent has it. */
    String known(int proxy) {
        return list(proxy, agents[proxy].told.size(), true, agents[proxy].whole());
    }

    private String list(int proxy, int revision, boolean whole, List<Change> changes) {
        return "{\"revision\":"
                + revision
                + ",\"complete\":"
                + whole
                + ",\"members\":["
                + changes.stream().map(each -> member(proxy, each)).collect(Collectors.joining(","))
                + "]}";
    }

    private String member(int proxy, Change its) {
        String phase =
                switch (its.state) {
                    case READY -> "active";
                    case DRAINING -> "leaving";
                    case GONE -> "left";
                };
        return String.format(
                Locale.ROOT,
                "{\"id\":\"s-%d\",\"host_port\":\"%s\",\"locality\":\"l%d\","
                    + "\"flavor\":\"m\",\"cell\":%d,\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":%d}",
                its.backend,
                LoopbackAddresses.text(backendFleet.address(segments[proxy], its.backend)),
                its.backend % scenario.settings().locationCount(),
                its.backend,
                phase,
                its.upSince);
    }

    /** All agents hear of it, each at a time of its own but in order. */
    void tells(int backend, EndpointUpdate.State state, long upSince) {
        Change change = new Change(backend, state, upSince);
        for (Agent each : agents) {
            double at =
                    Math.max(scheduler.now(), silentUntil)
                            + scenario.delay() * (0.5 + random.nextDouble());
            each.latest = Math.max(each.latest + IN_ORDER, at);
            scheduler.at(each.latest, () -> each.isTold(change));
        }
    }

    void silent(double seconds) {
        silentUntil = Math.max(silentUntil, scheduler.now() + seconds);
    }

    @Override
    public void close() {
        servers.forEach(IoUtils::safeClose);
        for (Agent each : agents) {
            each.talks.forEach(HttpConnection::close);
        }
    }
}
