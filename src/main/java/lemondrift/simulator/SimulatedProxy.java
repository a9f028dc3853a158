package lemondrift.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.Attempt;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;
import lemondrift.model.Settings;

/**
 * The load balancer of one simulated proxy. Maps the request ids and backend addresses of the wire
 * protocol to its requests and backend indexes.
 */
final class SimulatedProxy {
    /** An endpoint as received, before its backend gets an index; startedAt is in seconds. */
    record Endpoint(
            long address,
            int location,
            int cell,
            EndpointUpdate.State state,
            double startedAt,
            double weight) {}

    final LoadBalancer balancer;
    private final int number;
    private final Map<Long, Request> requests = new HashMap<>();
    private final Map<Long, Integer> indexes = new HashMap<>();
    private final List<Long> addresses = new ArrayList<>();
    private double alarmAt = Double.POSITIVE_INFINITY;
    private long alarmTag;

    SimulatedProxy(int number, Settings settings, long seed) {
        this.number = number;
        this.balancer = new LoadBalancer(settings, seed);
    }

    /**
     * Returns the dense index of a backend, which is assigned when its address is first received.
     */
    int backendIndex(long address) {
        Integer known = indexes.get(address);
        if (known == null) {
            known = addresses.size();
            indexes.put(address, known);
            addresses.add(address);
        }
        return known;
    }

    List<EndpointUpdate> toEndpointUpdates(List<Endpoint> endpoints) {
        List<EndpointUpdate> updates = new ArrayList<>(endpoints.size());
        for (Endpoint endpoint : endpoints) {
            boolean newBackend = !indexes.containsKey(endpoint.address);
            updates.add(
                    new EndpointUpdate(
                            backendIndex(endpoint.address),
                            newBackend,
                            endpoint.location,
                            endpoint.cell,
                            endpoint.state,
                            endpoint.startedAt,
                            endpoint.weight));
        }
        return updates;
    }

    /** Stores a request under its id and returns it. */
    Request accept(Request request) {
        requests.put(request.id, request);
        return request;
    }

    /** Returns the request with an id; null if it is unknown or already removed. */
    Request request(long id) {
        return requests.get(id);
    }

    /**
     * Returns the attempt in flight with an index among the attempts of a request; null if there is
     * none.
     */
    Attempt attempt(long id, int index) {
        Request request = requests.get(id);
        Attempt attempt = request == null ? null : request.latestAttempt;
        while (attempt != null && attempt.index != index) {
            attempt = attempt.previous;
        }
        return attempt == null || attempt.ended ? null : attempt;
    }

    /** Removes a request if it is completed and has no attempt in flight. */
    void forgetIfDone(Request request) {
        if (request.completed && request.attemptsInFlight == 0) {
            requests.remove(request.id);
        }
    }

    /**
     * Returns whether an alarm that fired is the latest one set, and marks it as fired; earlier
     * alarms are ignored.
     */
    boolean isCurrentAlarm(long tag) {
        if (tag != alarmTag) {
            return false;
        }
        alarmAt = Double.POSITIVE_INFINITY;
        return true;
    }

    /** Writes a decision to the reply; times are in seconds. */
    void writeDecision(Decision decision, double now, ReplyWriter reply) {
        for (Attempt attempt : decision.cancellations) {
            reply.cancel(number, attempt.request.id, attempt.index);
        }
        for (Attempt attempt : decision.attempts) {
            reply.send(
                    number,
                    attempt.request.id,
                    addresses.get(attempt.backend),
                    attempt.timeoutSeconds);
        }
        for (Decision.LocalReply local : decision.localReplies) {
            if (local.rejected()) {
                reply.reject(number, local.request().id, local.retryAfterSeconds());
            } else {
                reply.fail(number, local.request().id);
            }
            forgetIfDone(local.request());
        }
        for (int backend : decision.probes) {
            reply.probe(number, addresses.get(backend));
        }
        for (Decision.EndpointListCall call : decision.endpointListCalls) {
            if (call == Decision.EndpointListCall.WATCH) {
                reply.watchList(number);
            } else {
                reply.pollFullList(number);
            }
        }
        for (String text : decision.logMessages) {
            reply.note(number, text);
        }
        if (decision.wakeAt < alarmAt) {
            alarmAt = decision.wakeAt;
            reply.alarm(number, Math.max(0, alarmAt - now), ++alarmTag);
        }
    }
}
