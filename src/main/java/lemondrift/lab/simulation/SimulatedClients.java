package lemondrift.lab.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The clients of a simulation, an open loop: requests arrive at the scenario's rate regardless of
 * the outcome of earlier requests. A client retries a rejected request up to the scenario's maximum
 * number of tries.
 */
final class SimulatedClients {
    /**
     * The delay before a client retries if the rejection had no retry-after, as a share of the
     * latency objective.
     */
    private static final double RETRY_DELAY_SHARE = 0.5;

    /** A request of a client, over all its tries. */
    private static final class ClientRequest {
        final int classIndex;

        /** The second of the scenario in which the request was first sent. */
        final int firstSecond;

        /** The time until which a response meets the latency objective, in seconds. */
        final double objectiveAt;

        int sendCount;

        ClientRequest(int classIndex, int firstSecond, double objectiveAt) {
            this.classIndex = classIndex;
            this.firstSecond = firstSecond;
            this.objectiveAt = objectiveAt;
        }
    }

    /** A request without a response, and the alarm at its deadline. */
    private record OpenRequest(ClientRequest clientRequest, Scheduler.Entry deadlineAlarm) {}

    private final Scenario scenario;
    private final List<RequestClass> requestClasses;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential interarrival;
    private final SimulationRecorder recorder;
    private final BackendFaultInjector faultInjector;
    private final SimulatedProxies proxies;
    private final Map<Request, OpenRequest> openRequests = new HashMap<>();
    private long lastRequestId;

    SimulatedClients(
            Scenario scenario,
            Scheduler scheduler,
            UniformRandomProvider random,
            SimulationRecorder recorder,
            BackendFaultInjector faultInjector,
            SimulatedProxies proxies) {
        this.scenario = scenario;
        this.requestClasses = scenario.settings().requestClasses();
        this.scheduler = scheduler;
        this.random = random;
        this.interarrival = ZigguratSampler.Exponential.of(random);
        this.recorder = recorder;
        this.faultInjector = faultInjector;
        this.proxies = proxies;
    }

    /** Schedules the first request; each request schedules the next one until the scenario ends. */
    void start() {
        scheduler.after(interarrival.sample() / scenario.rate(), this::sendNextClientRequest);
    }

    int openRequestCount() {
        return openRequests.size();
    }

    private void sendNextClientRequest() {
        double now = scheduler.now();
        if (now >= scenario.durationSeconds()) {
            return;
        }
        int classIndex = random.nextInt(requestClasses.size());
        RequestClass requestClass = requestClasses.get(classIndex);
        recorder.recordClientRequest((int) now, requestClass);
        send(
                new ClientRequest(
                        classIndex, (int) now, now + requestClass.latencyObjectiveSeconds()));
        double rate = scenario.rate() * faultInjector.trafficFactor;
        scheduler.after(interarrival.sample() / rate, this::sendNextClientRequest);
    }

    private void send(ClientRequest clientRequest) {
        clientRequest.sendCount++;
        int proxy = random.nextInt(scenario.proxies());
        Request request =
                new Request(
                        ++lastRequestId,
                        clientRequest.classIndex,
                        0,
                        scheduler.now(),
                        requestClasses.get(clientRequest.classIndex).timeoutSeconds());
        recorder.recordAccepted(proxy, request);
        Scheduler.Entry deadlineAlarm =
                scheduler.at(request.deadline, () -> deadlinePassed(proxy, request));
        openRequests.put(request, new OpenRequest(clientRequest, deadlineAlarm));
        proxies.requestArrived(proxy, request);
    }

    private void deadlinePassed(int proxy, Request request) {
        openRequests.remove(request);
        recorder.recordUnanswered(proxy, request);
    }

    /** Handles a successful response that a proxy forwards from a backend. */
    void succeeded(int proxy, Request request) {
        close(proxy, request, false)
                .ifPresent(
                        clientRequest -> {
                            recordSuccess(clientRequest);
                            forgetIfDone(request);
                        });
    }

    private void recordSuccess(ClientRequest clientRequest) {
        recorder.recordSuccess(
                clientRequest.firstSecond,
                requestClasses.get(clientRequest.classIndex),
                scheduler.now() <= clientRequest.objectiveAt);
    }

    /**
     * Handles the rejection of a request by a proxy; a retry-after of 0 seconds means that the
     * response has none.
     */
    void rejected(int proxy, Request request, double retryAfterSeconds) {
        close(proxy, request, true)
                .ifPresent(
                        clientRequest -> {
                            recorder.recordRejected();
                            retryLater(clientRequest, retryAfterSeconds);
                            forgetIfDone(request);
                        });
    }

    private void retryLater(ClientRequest clientRequest, double retryAfterSeconds) {
        if (clientRequest.sendCount >= scenario.maxTries()) {
            return;
        }
        RequestClass requestClass = requestClasses.get(clientRequest.classIndex);
        double delaySeconds =
                retryAfterSeconds > 0
                        ? retryAfterSeconds
                        : RETRY_DELAY_SHARE * requestClass.latencyObjectiveSeconds();
        scheduler.after(delaySeconds, () -> send(clientRequest));
    }

    /**
     * Handles a request that a proxy failed; it may have been executed, so the client does not
     * retry.
     */
    void failed(int proxy, Request request) {
        close(proxy, request, false)
                .ifPresent(
                        clientRequest -> {
                            recorder.recordFailed();
                            forgetIfDone(request);
                        });
    }

    /**
     * Records the final response and closes the request; returns empty if the request was no longer
     * open.
     */
    private Optional<ClientRequest> close(int proxy, Request request, boolean rejected) {
        recorder.recordResponse(proxy, request, rejected);
        OpenRequest open = openRequests.remove(request);
        if (open == null) {
            return Optional.empty();
        }
        open.deadlineAlarm.cancel();
        return Optional.of(open.clientRequest);
    }

    /** Removes a request from the referee if it is closed and has no attempt in flight. */
    void forgetIfDone(Request request) {
        if (!openRequests.containsKey(request) && request.attemptsInFlight == 0) {
            recorder.forget(request);
        }
    }
}
