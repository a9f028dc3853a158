package lemondrift.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.decide.Balancer;
import lemondrift.model.Exchange;
import lemondrift.model.Forward;
import lemondrift.model.Listed;
import lemondrift.model.Settings;
import lemondrift.model.Turn;

/** One proxy's decisions with the ids by which the wire names its exchanges and backends. */
final class Instance {
    /** One line of a list as it came, before the instance gives its backend an index. */
    record Line(long address, int location, int cell, Listed.State state, double started,
            double size) {}

    final Balancer balancer;
    private final int number;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Map<Long, Integer> indexes = new HashMap<>();
    private final List<Long> addresses = new ArrayList<>();
    private double alarmAt = Double.POSITIVE_INFINITY;
    private long alarmTag;

    Instance(int number, Settings settings, long seed) {
        this.number = number;
        this.balancer = new Balancer(settings, seed);
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

    List<Listed> listed(List<Line> lines) {
        List<Listed> result = new ArrayList<>(lines.size());
        for (Line line : lines) {
            boolean fresh = !indexes.containsKey(line.address);
            result.add(new Listed(index(line.address), fresh, line.location, line.cell, line.state,
                    line.started, line.size));
        }
        return result;
    }

    Exchange taken(Exchange exchange) {
        exchanges.put(exchange.id, exchange);
        return exchange;
    }

    /** Null where the id is no longer held. */
    Exchange exchange(long id) {
        return exchanges.get(id);
    }

    Forward forward(long id, int forwardNumber) {
        Exchange exchange = exchanges.get(id);
        Forward forward = exchange == null ? null : exchange.latest;
        while (forward != null && forward.number != forwardNumber) {
            forward = forward.earlier;
        }
        return forward == null || forward.ended ? null : forward;
    }

    /** Lets go of an exchange that is over and has nothing out. */
    void release(Exchange exchange) {
        if (exchange.over && exchange.out == 0) {
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

    void write(Turn turn, double now, ReplyWriter reply) {
        for (Forward f : turn.cancels) {
            reply.cancel(number, f.exchange.id, f.number);
        }
        for (Forward f : turn.sends) {
            reply.send(number, f.exchange.id, addresses.get(f.backend), f.timeOut);
        }
        for (Turn.Answer a : turn.answers) {
            if (a.shed()) {
                reply.shed(number, a.exchange().id, a.retryAfter());
            } else {
                reply.scrap(number, a.exchange().id);
            }
            release(a.exchange());
        }
        for (int backend : turn.probes) {
            reply.probe(number, addresses.get(backend));
        }
        for (Turn.ListCall call : turn.listCalls) {
            if (call == Turn.ListCall.WATCH) {
                reply.watch(number);
            } else {
                reply.askWhole(number);
            }
        }
        for (String text : turn.peerTexts) {
            reply.toAllPeers(number, text);
        }
        for (String text : turn.notes) {
            reply.note(number, text);
        }
        if (turn.wakeAt < alarmAt) {
            alarmAt = turn.wakeAt;
            reply.alarm(number, Math.max(0, alarmAt - now), ++alarmTag);
        }
    }
}
