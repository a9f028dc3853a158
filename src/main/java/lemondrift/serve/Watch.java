package lemondrift.serve;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import lemondrift.model.Turn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** Keeps the list up to date: the whole list once, then one watch. I/O thread only. */
final class Watch {
    private static final Logger LOG = LoggerFactory.getLogger(Watch.class);
    private static final int MOST_LIST = 4 << 20;
    /** How long discovery may hold a watch, how much later silence is no answer, the pause then. */
    private static final double HOLD = 4, SLACK = 1, PAUSE = 0.1;

    private final Clock clock;
    private final XnioIoThread io;
    private final Dial dial;
    private final ByteBufferPool buffers;
    private final Owner owner;
    private final boolean onRequest;
    private long revision = -1;
    private boolean stopped, failing;
    private Links links;
    private Call call;

    Watch(Config config, Clock clock, XnioIoThread io, Dial dial, ByteBufferPool buffers,
            Owner owner) {
        this.clock = clock;
        this.io = io;
        this.dial = dial;
        this.buffers = buffers;
        this.owner = owner;
        onRequest = config.settings().listOnRequest();
        links = links(config.discovery());
    }

    private Links links(InetSocketAddress discovery) {
        return new Links(discovery, io, dial, buffers, clock, new Links.Budget(4), 4, 0);
    }

    /** Where lists are told unasked the watch runs from the start; elsewhere the decisions begin it. */
    void begin() {
        if (!onRequest) {
            call();
        }
    }

    /** Leaves discovery for another address. Danger: the old one's late answer would undo the new one's. */
    void move(InetSocketAddress discovery) {
        if (stopped) {
            return;
        }
        if (call != null) {
            call.abandon();
            call = null;
        }
        links.retire();
        links = links(discovery);
        // Danger: the new one may count its revisions otherwise and never tell what the old one had not.
        revision = -1;
        call();
    }

    void asked(Turn.ListCall call) {
        if (call == Turn.ListCall.WHOLE) {
            revision = -1;
        }
        call();
    }

    private void call() {
        if (call != null || stopped) {
            return;
        }
        String path = "/v1/servers" + (revision < 0 ? "" : "?from=" + revision + "&hold_ms="
                + Math.round(HOLD * 1000));
        call = Call.make(links, Call.get(path, links.address.getHostString()), MOST_LIST, SLACK,
                revision < 0 ? SLACK : HOLD + SLACK, this::answered);
        if (call == null) {
            failed("no connection free");
        } else {
            call.start();
        }
    }

    void stop() {
        stopped = true;
        if (call != null) {
            call.abandon();
        }
    }

    private void answered(Answer answer) {
        call = null;
        if (answer.status() != Answer.OK) {
            failed("status " + answer.status());
            return;
        }
        try {
            JsonObject list = JsonParser.parseString(new String(answer.body(), StandardCharsets.UTF_8))
                    .getAsJsonObject();
            // Danger: a revision taken from half a list would never be asked for again.
            int lines = list.getAsJsonArray("members").size();
            list.get("complete").getAsBoolean();
            revision = list.get("revision").getAsLong();
            if (failing || lines > 0) {
                LOG.info("list of revision {}, lines: {}", revision, lines);
            }
            failing = false;
            owner.listed(list, false);
            // Danger: a later call than 200 ms begins a new watch, and what changed before it counts as told.
            call();
        } catch (RuntimeException e) {
            failed(e.toString());
        }
    }

    /** Danger: an agent that answers nonsense at once would be asked without a pause. */
    private void failed(String why) {
        // Danger: a line for every call would drown all others while discovery is down.
        if (!failing) {
            LOG.info("list call failed, asking again: {}", why);
        }
        failing = true;
        if (onRequest) {
            owner.listFailed();
        } else {
            io.executeAfter(this::call, Math.round(PAUSE * 1e9), TimeUnit.NANOSECONDS);
        }
    }
}
