package lemondrift.serve;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import lemondrift.model.Forward;
import lemondrift.model.Outcome;
import lemondrift.tally.Tally;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Forwards, probes and load reports over bounded pools of connections. I/O thread only. */
final class Backends {
    private static final Logger LOG = LoggerFactory.getLogger(Backends.class);
    static final HttpString EXPIRES = new HttpString("X-Expires-In-Ms");
    private static final HttpString LOAD = new HttpString("Endpoint-Load-Metrics");
    private static final HttpString NEVER_RAN = new HttpString("X-Never-Ran");
    private static final Set<HttpString> OWN = Set.of(Headers.CONNECTION, Headers.KEEP_ALIVE, Headers.TE,
            Headers.TRAILER, Headers.TRANSFER_ENCODING, Headers.UPGRADE, Headers.EXPECT,
            Headers.CONTENT_LENGTH, EXPIRES, LOAD);
    /** Of a body either way. */
    static final int MOST_BODY = 64 * 1024;
    /** The share of the proxy's connections that go to backends, and of those the share for one. */
    private static final double SHARE = 0.33, MOST_OF_THEM = 0.25;
    /** Idle connections are closed at this share of the time after which a backend does so. */
    private static final double IDLE_SHARE = 0.5;
    /** How long a wary pool's connections rest after an answer, as a share of a connect's longest time. */
    private static final double REST_SHARE = 1.0 / 16;
    /** The share of its time after which an answer that nobody knows the length of is passed on. */
    private static final double PATIENCE = 0.8;
    /** No figure of a load report can be as high. */
    private static final double UNHEARD_OF = 1e9;

    private final Config config;
    private final Clock clock;
    private final XnioIoThread io;
    private final Dial dial;
    private final ByteBufferPool buffers;
    private final Owner owner;
    private final Tally tally;
    private final Predicate<Taken> awaited;
    private final Links.Budget budget;
    private final XnioExecutor.Key sweep;
    private final Map<Integer, Links> links = new HashMap<>();
    private final Map<Forward, Call> calls = new HashMap<>();

    /** Awaited says whether the client of an exchange is there and has no answer yet. */
    Backends(Config config, Clock clock, XnioIoThread io, Dial dial, ByteBufferPool buffers, Owner owner,
            Tally tally, Predicate<Taken> awaited) {
        this.awaited = awaited;
        this.config = config;
        this.clock = clock;
        this.io = io;
        this.dial = dial;
        this.buffers = buffers;
        this.owner = owner;
        this.tally = tally;
        budget = new Links.Budget((int) (SHARE * config.connections()));
        double limit = IDLE_SHARE * config.idle();
        sweep = io.executeAtInterval(() -> links.values().forEach(l -> l.closeIdleSince(clock.now() - limit)),
                (long) (limit * 1e9 / 8), TimeUnit.NANOSECONDS);
    }

    void send(Forward f, Taken taken, InetSocketAddress to) {
        try {
            begin(f, taken, to);
        } catch (RuntimeException e) {
            // Danger: a forward that never ends would keep its exchange until the expiry.
            LOG.error("forward not begun", e);
            owner.ended(f, Outcome.MOOT, 0, null, null);
        }
    }

    private void begin(Forward f, Taken taken, InetSocketAddress to) {
        // The time that passed in the queues is the exchange's own.
        Upload upload = taken.upload();
        double within = upload == null ? f.sent + f.timeOut - clock.now() : upload.within;
        if (upload != null && !upload.restart()) {
            owner.ended(f, Outcome.MOOT, 0, null, null);
            return;
        }
        Call[] made = new Call[1];
        Call call = Call.passing(links(f.backend, to), request(taken), MOST_BODY,
                config.connectTimeout(), within, PATIENCE * within, () -> awaited.test(taken),
                tally::dispatched, answer -> {
                    calls.remove(f);
                    // The time that an upload took is its client's, not the backend's.
                    double began = upload == null ? f.sent : made[0].began();
                    owner.ended(f, outcome(answer), clock.now() - began, report(answer), answer);
                });
        made[0] = call;
        if (call == null) {
            owner.ended(f, Outcome.MOOT, 0, null, null);
        } else {
            calls.put(f, call);
            call.start();
        }
    }

    /** The request as it came, but for what belongs to one connection and the time there is for it. */
    private static Call.Request request(Taken taken) {
        Upload upload = taken.upload();
        Call.Head head = upload == null ? left -> head(taken, left) : left -> head(taken, upload.within);
        return new Call.Request(head, taken.body(), upload);
    }

    private static byte[] head(Taken taken, double left) {
        HttpServerExchange client = taken.client();
        String query = client.getQueryString();
        StringBuilder head = new StringBuilder(256).append(client.getRequestMethod()).append(' ')
                .append(client.getRequestURI()).append(query.isEmpty() ? "" : "?").append(query)
                .append(" HTTP/1.1\r\n");
        for (HeaderValues values : client.getRequestHeaders()) {
            for (int i = 0; i < values.size() && !OWN.contains(values.getHeaderName()); i++) {
                head.append(values.getHeaderName()).append(": ").append(values.get(i)).append("\r\n");
            }
        }
        head.append(EXPIRES).append(": ").append(Math.max(1, Math.round(left * 1000))).append("\r\n");
        if (taken.upload() != null && taken.upload().isChunked()) {
            head.append("Transfer-Encoding: chunked\r\n");
        } else if (taken.upload() != null) {
            head.append("Content-Length: ").append(client.getRequestContentLength()).append("\r\n");
        } else if (taken.body().length > 0 || !client.getRequestMethod().equals(Methods.GET)) {
            head.append("Content-Length: ").append(taken.body().length).append("\r\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    void cancel(Forward f) {
        Call call = calls.remove(f);
        if (call != null) {
            call.abandon();
            owner.ended(f, Outcome.CANCELLED, clock.now() - f.sent, null, null);
        }
    }

    /** A probe waits as long as a connect may. */
    void probe(int backend, InetSocketAddress to) {
        String path = config.reportNames().isEmpty() ? "/healthz" : "/load";
        Call call = Call.make(links(backend, to), Call.get(path, "backend"), MOST_BODY,
                config.connectTimeout(), config.connectTimeout(), answer -> owner.probed(backend,
                        outcome(answer), report(new String(answer.body(), StandardCharsets.ISO_8859_1),
                                config.reportNames())));
        if (call == null) {
            owner.probed(backend, Outcome.MOOT, null);
        } else {
            call.start();
        }
    }

    /** How many forwards are out. */
    int calls() {
        return calls.size();
    }

    void letGo(int backend) {
        Links known = links.remove(backend);
        if (known != null) {
            known.retire();
        }
    }

    /** A share of its connections is this process's from now on. */
    void share(double share) {
        budget.most((int) (share * SHARE * config.connections()));
    }

    void stop() {
        sweep.remove();
    }

    private Links links(int backend, InetSocketAddress to) {
        Links known = links.get(backend);
        if (known == null || !known.address.equals(to)) {
            letGo(backend);
            int most = (int) (MOST_OF_THEM * SHARE * config.connections());
            known = new Links(to, io, dial, buffers, clock, budget, most,
                    new Links.Rest(REST_SHARE * config.connectTimeout(), config.idle()));
            links.put(backend, known);
        }
        return known;
    }

    /** Everything but what belongs to one connection. */
    static void copy(HeaderMap from, HeaderMap to) {
        for (HeaderValues values : from) {
            if (!OWN.contains(values.getHeaderName())) {
                to.putAll(values.getHeaderName(), values);
            }
        }
    }

    static Outcome outcome(Answer answer) {
        boolean neverRan = "1".equals(answer.headers().getFirst(NEVER_RAN));
        return switch (answer.status()) {
            case Answer.UNSENT -> Outcome.MOOT;
            case 0 -> !answer.sent() ? Outcome.CONNECT_FAILED
                    : answer.timedOut() ? Outcome.TIMED_OUT : Outcome.RESET;
            case Answer.OK -> Outcome.DELIVERED;
            case 503, 504 -> neverRan ? Outcome.FULL : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    /** Danger: of two reports it is not known which is meant. */
    private double[] report(Answer answer) {
        return answer.headers().count(LOAD) != 1 ? null
                : report(answer.headers().getFirst(LOAD), config.reportNames());
    }

    /** Reads TEXT name=value, name=value into the figures of these names; null if one lacks or is none. */
    static double[] report(String text, List<String> names) {
        Map<String, String> pairs = new HashMap<>();
        String list = text.strip();
        for (String pair : list.substring(list.startsWith("TEXT ") ? 5 : 0).split(",")) {
            int equals = pair.indexOf('=');
            pairs.put(pair.substring(0, Math.max(0, equals)).strip(), pair.substring(equals + 1).strip());
        }
        try {
            double[] figures = names.stream()
                    .mapToDouble(name -> Double.parseDouble(pairs.get(name))).toArray();
            // Danger: a figure that is none or negative would make its backend the least utilised for good.
            return Arrays.stream(figures).allMatch(each -> each >= 0 && each < UNHEARD_OF) ? figures : null;
        } catch (NumberFormatException | NullPointerException e) {
            return null;
        }
    }
}
