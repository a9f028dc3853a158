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

/** One proxy's decisions with the ids by which the wire names its exchanges and backends. */
final class SimulatedProxy {
    /** One line of a list as it came, before the instance gives its backend an index. */
    record Line(
            long address,
            int location,
            int cell,
            EndpointUpdate.State state,
            double started,
            double size) {}

    final LoadBalancer balancer;
    private final int number;
    private final Map<Long, Request> exchanges = new HashMap<>();
    private final Map<Long, Integer> indexes = new HashMap<>();
    private final List<Long> addresses = new ArrayList<>();
    private double alarmAt = Double.POSITIVE_INFINITY;
    private long alarmTag;

    SimulatedProxy(int number, Settings settings, long seed) {
        this.number = number;
        this.balancer = new LoadBalancer(settings, seed);
    }

    int index(long address) {
        Integer known = indexes.get(address);
        if (known == null) {
            known = addresses.size();
            indexes.put(address, known);
            addresses.add(address);
        }
        return known;
    }

    List<EndpointUpdate> listed(List<Line> lines) {
        List<EndpointUpdate> result = new ArrayList<>(lines.size());
        for (Line line : lines) {
            boolean fresh = !indexes.containsKey(line.address);
            result.add(
                    new EndpointUpdate(
                            index(line.address),
                            fresh,
                            line.location,
                            line.cell,
                            line.state,
                            line.started,
                            line.size));
        }
        return result;
    }

    Request taken(Request exchange) {
        exchanges.put(exchange.id, exchange);
        return exchange;
    }

    /** Null where the id is no longer held. */
    Request exchange(long id) {
        return exchanges.get(id);
    }

    Attempt forward(long id, int forwardNumber) {
        Request exchange = exchanges.get(id);
        Attempt forward = exchange == null ? null : exchange.latestAttempt;
        while (forward != null && forward.index != forwardNumber) {
            forward = forward.previous;
        }
        return forward == null || forward.ended ? null : forward;
    }

    /** Lets go of an exchange that is over and has nothing out. */
    void release(Request exchange) {
        if (exchange.completed && exchange.attemptsInFlight == 0) {
            exchanges.remove(exchange.id);
        }
    }

    /** A bell that a later alarm has replaced is passed over. */
    boolean isCurrentAlarm(long tag) {
        if (tag != alarmTag) {
            return false;
        }
        alarmAt = Double.POSITIVE_INFINITY;
        return true;
    }

    void write(Decision decision, double now, ReplyWriter reply) {
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
        for (Decision.LocalReply a : decision.localReplies) {
            if (a.rejected()) {
                reply.shed(number, a.request().id, a.retryAfterSeconds());
            } else {
                reply.scrap(number, a.request().id);
            }
            release(a.request());
        }
        for (int backend : decision.probes) {
            reply.probe(number, addresses.get(backend));
        }
        for (Decision.EndpointListCall call : decision.endpointListCalls) {
            if (call == Decision.EndpointListCall.WATCH) {
                reply.watch(number);
            } else {
                reply.askWhole(number);
            }
        }
        for (String text : decision.peerTexts) {
            reply.toAllPeers(number, text);
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
