package lemondrift.lab.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import lemondrift.lab.simulation.BackendFaultInjector;
import lemondrift.lab.simulation.Scenario;
import lemondrift.model.RequestClass;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The clients, an open-loop load generator: requests are sent at the scenario's rate regardless of
 * the outcome of earlier ones, and latency is measured from the time at which a request was due.
 * I/O thread only.
 */
final class ClientFleet implements AutoCloseable {
    /** The wait before a retry if no response names one, as a share of the latency objective. */
    private static final double DEFAULT_RETRY_WAIT_SHARE = 0.5;

    /**
     * The time between two requests on the idle connections to a proxy that is being terminated.
     */
    private static final double IDLE_CONNECTION_SEND_INTERVAL_SECONDS = 0.01;

    private final TestbedContext context;
    private final Scenario scenario;
    private final ClientTargets targets;
    private final BackendFaultInjector faultInjector;
    private final ClientConnections connections;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential interarrival;
    private final ZigguratSampler.NormalizedGaussian normal;

    /** Distinguishes the trace ids of this testbed from those of other testbeds. */
    private final String traceIdPrefix = Long.toHexString(System.nanoTime());

    /** The number of requests in flight, by target. */
    private final Map<Integer, Integer> inFlightByTarget = new HashMap<>();

    private boolean started;
    private int openRequestCount;
    private long tryCount;

    /**
     * Creates clients that send nothing before {@link #start}. The fault injector may raise the
     * request rate and the work of the requests.
     */
    ClientFleet(TestbedContext context, ClientTargets targets, BackendFaultInjector faultInjector) {
        this.context = context;
        this.targets = targets;
        this.faultInjector = faultInjector;
        scenario = context.scenario();
        connections = new ClientConnections(context.ioThread());
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(context.seed() + 1);
        interarrival = ZigguratSampler.Exponential.of(random);
        normal = ZigguratSampler.NormalizedGaussian.of(random);
    }

    /** Starts to send requests, until {@link #stop} is called. */
    void start() {
        started = true;
        context.scheduler().after(interarrival.sample() / scenario.rate(), this::sendNext);
    }

    /** Stops creating requests; open requests continue. */
    void stop() {
        started = false;
    }

    private void sendNext() {
        if (!started) {
            return;
        }
        send(createRequest());
        double rate = scenario.rate() * faultInjector.trafficFactor;
        context.scheduler().after(interarrival.sample() / rate, this::sendNext);
    }

    private ClientRequest createRequest() {
        int classIndex = random.nextInt(scenario.settings().requestClasses().size());
        RequestClass requestClass = scenario.settings().requestClasses().get(classIndex);
        openRequestCount++;
        int second =
                context.recorder().recordClientRequest(classIndex, requestClass.priorityWeight());
        double dueAt = context.scheduler().now();
        double spread = scenario.workLogStandardDeviation();
        double workSeconds =
                scenario.meanWorkSeconds()
                        * faultInjector.workFactor
                        * Math.exp(spread * normal.sample() - spread * spread / 2);
        return new ClientRequest(
                classIndex, requestClass, dueAt, second, workSeconds, context.recorder().result());
    }

    private void send(ClientRequest request) {
        request.sendCount++;
        createTry(request).start();
    }

    private ClientTry createTry(ClientRequest request) {
        String traceId = traceIdPrefix + "-" + ++tryCount;
        return new ClientTry(this, context, targets, connections, request, traceId);
    }

    /**
     * Sends requests on the idle connections of the clients to a proxy, whether or not it is open,
     * until a time in seconds of the scheduler or until the clients are stopped.
     */
    void sendOnIdleConnections(int proxy, double endAt) {
        if (!started || context.scheduler().now() >= endAt) {
            return;
        }
        Optional<HttpConnection> idleConnection = connections.takeLongestIdle(proxy);
        idleConnection.ifPresent(
                connection -> createTry(createRequest()).startOn(connection, proxy));
        context.scheduler()
                .after(
                        IDLE_CONNECTION_SEND_INTERVAL_SECONDS,
                        () -> sendOnIdleConnections(proxy, endAt));
    }

    /**
     * Sends a request again after the default wait, if its client still waits and may try again;
     * otherwise counts it as ended.
     */
    void retryOrGiveUp(ClientRequest request) {
        double waitSeconds =
                DEFAULT_RETRY_WAIT_SHARE * request.requestClass.latencyObjectiveSeconds();
        retryOrGiveUp(request, waitSeconds);
    }

    /**
     * Sends a request again after the wait that a rejection has named, if its client still waits
     * and may try again; otherwise counts it as ended.
     */
    void retryOrGiveUp(ClientRequest request, double waitSeconds) {
        double ageSeconds = context.scheduler().now() - request.dueAt;
        if (request.sendCount < scenario.maxTries()
                && ageSeconds < request.requestClass.timeoutSeconds()) {
            context.scheduler().after(waitSeconds, () -> send(request));
        } else {
            finish();
        }
    }

    /** Counts a request as ended; it is not tried again. */
    void finish() {
        openRequestCount--;
    }

    /** Counts a request that is sent to a target. */
    void addInFlight(int target) {
        inFlightByTarget.merge(target, 1, Integer::sum);
    }

    /** Counts a request that is no longer in flight to a target. */
    void removeInFlight(int target) {
        inFlightByTarget.merge(target, -1, Integer::sum);
    }

    /** Returns how many requests are in flight to a target. */
    int inFlightCount(int target) {
        return inFlightByTarget.getOrDefault(target, 0);
    }

    /** Returns how many client requests have not ended. */
    int openRequestCount() {
        return openRequestCount;
    }

    @Override
    public void close() {
        started = false;
        connections.close();
    }
}
