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
 * The clients, an open loop: requests come at the day's rate whatever becomes of those before, and
 * latency counts from when one was due. I/O thread only.
 */
final class ClientFleet implements AutoCloseable {
    /** After a rejection that names no time, as a share of the latency objective. */
    private static final double DEFAULT_RETRY_WAIT_SHARE = 0.5;

    /** Between two requests on the connections to a proxy that is to end. */
    private static final double IDLE_CONNECTION_SEND_INTERVAL_SECONDS = 0.01;

    private final TestbedContext context;
    private final Scenario scenario;
    private final ClientTargets targets;
    private final BackendFaultInjector faultInjector;
    private final ClientConnections connections;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential interarrival;
    private final ZigguratSampler.NormalizedGaussian normal;

    /** Sets the trace ids of this testbed apart from those of others. */
    private final String traceIdPrefix = Long.toHexString(System.nanoTime());

    /** By target. */
    private final Map<Integer, Integer> inFlightByTarget = new HashMap<>();

    private boolean started;
    private int openRequestCount;
    private long tryCount;

    /** Sends nothing before {@link #start}; the fault injector may raise the rate and the work. */
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

    /** Lets requests come, until they are stopped. */
    void start() {
        started = true;
        context.scheduler().after(interarrival.sample() / scenario.rate(), this::sendNext);
    }

    /** Lets no further requests come; those that are open go on. */
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
     * Sends requests on the connections that clients have to a proxy, whether or not it is open,
     * until a time or until there are no connections.
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

    /** Sends a request once more after a while, where its client still waits and may try again. */
    void retryOrGiveUp(ClientRequest request) {
        double waitSeconds =
                DEFAULT_RETRY_WAIT_SHARE * request.requestClass.latencyObjectiveSeconds();
        retryOrGiveUp(request, waitSeconds);
    }

    /** The same after a wait that a rejection names. */
    void retryOrGiveUp(ClientRequest request, double waitSeconds) {
        double ageSeconds = context.scheduler().now() - request.dueAt;
        if (request.sendCount < scenario.maxTries()
                && ageSeconds < request.requestClass.timeoutSeconds()) {
            context.scheduler().after(waitSeconds, () -> send(request));
        } else {
            finish();
        }
    }

    /** A request is not tried any more. */
    void finish() {
        openRequestCount--;
    }

    /** Counts a request that is sent to a target. */
    void addInFlight(int target) {
        inFlightByTarget.merge(target, 1, Integer::sum);
    }

    /** Counts that a request is no longer in flight at a target. */
    void removeInFlight(int target) {
        inFlightByTarget.merge(target, -1, Integer::sum);
    }

    /** How many requests are in flight at a target. */
    int inFlightCount(int target) {
        return inFlightByTarget.getOrDefault(target, 0);
    }

    /** How many requests of clients have not ended. */
    int openRequestCount() {
        return openRequestCount;
    }

    @Override
    public void close() {
        started = false;
        connections.close();
    }
}
