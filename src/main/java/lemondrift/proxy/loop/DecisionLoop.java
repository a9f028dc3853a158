package lemondrift.proxy.loop;

import lemondrift.proxy.backend.BackendResponse;
import lemondrift.proxy.client.PendingRequest;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.discovery.EndpointList;
import lemondrift.proxy.discovery.EndpointListUpdate;
import lemondrift.proxy.gossip.GossipSession;
import lemondrift.proxy.gossip.GossipTransport;
import lemondrift.proxy.lifecycle.MonotonicClock;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.*;
import lemondrift.proxy.recovery.RecoveryCoordinator;
import lemondrift.settings.RequestClassIndex;
import lemondrift.shadow.ShadowEvaluator;
import lemondrift.metrics.EventLoopMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread that calls the decisions. Everybody else reaches it through its queue. */
public final class DecisionLoop {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);
    private static final int QUEUED = 4096;
    /** How many events are handled before the sockets are told what came of them. */
    private static final int AT_A_TIME = 32;
    private static final double LONGEST_WAIT = 10;
    /** When an event came, where nobody has looked. */
    private static final double UNKNOWN = Double.POSITIVE_INFINITY;
    /** Seconds in which others may run between two slices of a list. */
    private static final double BETWEEN_SLICES = 0.001;
    /** How often, in seconds, the log has what watching has counted. */
    private static final double SHOWN = 60;

    /** Something that happened, when if that is known, and the exchange that it is about, if any. */
    private record Event(EventLoopMetrics.Kind kind, double came, Request about, Supplier<Decision> call) {}

    /** Lists that are not followed whole yet, the oldest first. */
    private final Queue<EndpointListUpdate> updates = new ArrayDeque<>();
    private final BlockingQueue<Event> queue = new ArrayBlockingQueue<>(QUEUED);
    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final MonotonicClock clock;
    private final ProxyActions hands;
    private final Map<Request, PendingRequest> open = new HashMap<>();
    private final Thread thread = new Thread(this::run, "owner");
    private final EventLoopMetrics figures = new EventLoopMetrics();
    private double turnBegan;
    /** What others tell and are told; null where they tell nothing. */
    private GossipSession tellings;
    /** The way back after the start; null where nobody is asked. */
    private RecoveryCoordinator comeback;
    private double wakeAt = Double.POSITIVE_INFINITY;
    /** What other settings would have decided; null where nobody watches. */
    private ShadowEvaluator shadow;
    private double shownAt;
    private int arrived;
    /** What the decisions would shed of each grade, as of the last time that the queue was long. */
    private volatile List<ShedThreshold> words = List.of();
    /** What is stated now, the grades under the indexes that exchanges name. */
    private RequestClassIndex grades;
    private Settings settings;
    private int processes = 1;
    /**
     * How many statements the front does not go by yet, and the indexes that it had exchanges under when it
     * went by the last. Danger: what it still puts on one must not mean another class here.
     */
    private int unfollowed;
    private Set<Integer> held = Set.of();

    public DecisionLoop(LoadBalancer balancer, BackendDirectory directory, MonotonicClock clock, ProxyActions hands, RequestClassIndex grades,
            Settings settings) {
        this.grades = grades;
        this.settings = settings;
        this.balancer = balancer;
        this.directory = directory;
        this.clock = clock;
        this.hands = hands;
        thread.setDaemon(true);
    }

    /** Tells the other proxies what is out here and hears it of them; before the start. */
    public void tells(GossipTransport.Place place) {
        tellings = new GossipSession(place, System.currentTimeMillis(), balancer, directory);
    }

    /** The same, and asks others after the start. */
    public void tells(GossipTransport.Place place, RecoveryCoordinator its) {
        comeback = its;
        tellings = new GossipSession(place, its.start(), balancer, directory);
    }

    public RecoveryCoordinator comeback() {
        return comeback;
    }

    /** Counts what these settings would have decided otherwise; before the start. */
    public void watches(Settings settings, long seed) {
        shadow = new ShadowEvaluator(settings, seed);
        shownAt = clock.now();
    }

    /** Danger: what goes wrong in watching must not touch an exchange, so it ends the watching alone. */
    private void watch(Consumer<ShadowEvaluator> event) {
        try {
            event.accept(shadow);
        } catch (RuntimeException e) {
            LOG.error("watching has ended", e);
            shadow = null;
        }
    }

    public ShadowEvaluator watched() {
        return shadow;
    }

    private void showAtTimes() {
        if (shadow != null && clock.now() >= shownAt + SHOWN) {
            shownAt = clock.now();
            LOG.info("watching: {}", shadow.told());
        }
    }

    /** Another proxy's datagram has come. */
    public void told(int from, byte[] datagram) {
        if (comeback != null && RecoveryCoordinator.isFor(datagram)) {
            comeback.heard(from, datagram);
            put(null, () -> null);
        } else {
            tellings.told(from, datagram);
        }
    }

    public void start() {
        thread.start();
    }

    /** Danger: what the owner still has in hand would find the I/O thread gone. */
    public void stop() {
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (shadow != null) {
            LOG.info("watching: {}", shadow.told());
        }
    }

    public void arrived(PendingRequest taken) {
        put(EventLoopMetrics.Kind.ARRIVAL, taken.exchange(), () -> {
            arrived++;
            open.put(taken.exchange(), taken);
            if (shadow != null) {
                watch(s -> s.arrived(clock.now(), taken.exchange()));
            }
            return balancer.exchangeArrived(clock.now(), taken.exchange());
        });
    }

    /**
     * Whether the decisions would shed an exchange now; null if not, else with what retry-after. Any thread.
     */
    public ShedThreshold shed(int grade, double left) {
        ShedThreshold word = grade < words.size() ? words.get(grade) : null;
        return word != null && left < word.leastLeft() ? word : null;
    }

    /** The answer is the one to pass on if this forward delivers. */
    public void ended(Attempt f, AttemptOutcome outcome, double took, double[] report, BackendResponse answer) {
        put(EventLoopMetrics.Kind.OUTCOME, f.exchange, () -> {
            boolean wins = outcome == AttemptOutcome.DELIVERED && !f.exchange.over;
            PendingRequest taken = open.get(f.exchange);
            if (wins && taken != null) {
                hands.deliver(taken, answer);
            } else if (answer != null && answer.rest() != null) {
                hands.drop(answer);
            }
            if (tellings != null) {
                tellings.ended(f.backend, outcome, clock.now());
            }
            boolean over = wins || f.exchange.over;
            if (shadow != null) {
                watch(s -> s.ended(clock.now(), f, outcome, took, over, report));
            }
            return balancer.forwardEnded(clock.now(), f, outcome, took, over, report);
        });
    }

    public void probed(int backend, AttemptOutcome outcome, double[] report) {
        put(null, () -> {
            directory.letGo(backend);
            if (shadow != null) {
                watch(s -> s.probed(clock.now(), backend, outcome, report));
            }
            return balancer.probeEnded(clock.now(), backend, outcome, report);
        });
    }

    public void left(Request x) {
        put(EventLoopMetrics.Kind.CLIENT_LEFT, x, () -> {
            if (shadow != null) {
                watch(s -> s.left(clock.now(), x));
            }
            return x.over ? null : balancer.clientLeft(clock.now(), x);
        });
    }

    /** So many processes share what is this proxy's, its part of a cold backend's budget too. */
    public void sharedBy(int many) {
        put(null, () -> {
            processes = many;
            balancer.stated(settings.sharedBy(many), List.of());
            return null;
        });
    }

    /** Its request can't be sent whole any more. */
    public void letGo(Request x) {
        put(x, () -> {
            x.terms = x.terms.upTo(x.forwards);
            return null;
        });
    }

    /** A list has come; stale is one of before the start. Applied hears when the decisions have all of it. */
    public void listed(EndpointList list, boolean stale, Runnable applied) {
        put(EventLoopMetrics.Kind.LIST, null, () -> {
            updates.add(new EndpointListUpdate(directory, list, stale, applied));
            // What is small is followed at once.
            return updates.size() == 1 ? nextSlice() : null;
        });
    }

    /** Follows a part of the list that has come first. */
    private Decision nextSlice() {
        EndpointListUpdate update = updates.peek();
        List<EndpointUpdate> listed = update.slice();
        List<EndpointUpdate> lines = tellings == null || listed.isEmpty() ? listed : tellings.assigned(listed);
        if (shadow != null) {
            watch(s -> s.listed(clock.now(), false, update.isStale(), lines));
        }
        balancer.backendsChanged(clock.now(), false, lines);
        if (tellings != null) {
            tellings.listed(lines);
        }
        for (EndpointUpdate line : lines) {
            // Danger: what waits for a connection to where it was would reach whoever is there now.
            if (line.state() != EndpointUpdate.State.READY || directory.hasMoved(line.backend())) {
                hands.letGo(line.backend());
            }
        }
        return update.isDone() ? endOf(updates.remove()) : null;
    }

    private Decision endOf(EndpointListUpdate update) {
        count();
        if (!update.unreadable().isEmpty()) {
            LOG.warn("lines of the list are passed over, the first: {}", update.unreadable().get(0));
        }
        if (!update.isEmpty()) {
            LOG.info("list followed {} backends={} usable={}", update.told(), directory.listed(),
                    balancer.usable());
        }
        update.applied();
        return balancer.backendsListed(clock.now(), false, update.isStale(), List.of());
    }

    /** Other settings hold from now on, for what comes; watched is null where nobody watches. */
    public void retune(Settings to, List<String> names, Settings watched) {
        put(null, () -> {
            grades = grades.retuned(names, to.grades(), i -> unfollowed > 0 || held.contains(i)
                    || open.keySet().stream().anyMatch(x -> x.grade == i));
            unfollowed++;
            // Danger: under an index another class may stand from now on.
            words = List.of();
            settings = settings.retuned(to, grades.indexed());
            balancer.stated(settings.sharedBy(processes), grades.fresh());
            if (shadow != null && watched != null) {
                watch(s -> s.stated(watched.retuned(watched, grades.indexed(watched.grades())),
                        grades.fresh()));
            }
            hands.retuned(grades, settings);
            return null;
        });
    }

    /** The front goes by what was stated last, and has exchanges under these indexes of classes. */
    public void followed(Set<Integer> under) {
        put(null, () -> {
            unfollowed--;
            held = under;
            return null;
        });
    }

    private void count() {
        hands.targets(directory.listed(), directory.listed() - balancer.usable());
    }

    /**
     * Answers all that is open: refused where nothing was forwarded. Danger: at the end of the process what
     * has no answer is lost.
     */
    public void endAll() {
        put(null, () -> {
            for (Request x : List.copyOf(open.keySet())) {
                if (!x.over) {
                    x.ending = FailureReason.SHUTDOWN;
                    carryOut(balancer.clientLeft(clock.now(), x));
                    answer(x, x.forwards == 0, 0);
                    release(x);
                }
            }
            return null;
        });
    }

    /** What is the owner's own is to be seen there only. What it has asked of the sockets is on its way. */
    public void onOwner(Runnable task) {
        put(null, () -> {
            hands.act();
            task.run();
            return null;
        });
    }

    /** How often something speaks of a backend by its index. Owner's thread only. */
    public int spokenOf() {
        return directory.held();
    }

    /** How many exchanges are open. Owner's thread only. */
    public int open() {
        return open.size();
    }

    public void listFailed() {
        put(null, () -> balancer.listFailed(clock.now()));
    }

    private void put(Request about, Supplier<Decision> call) {
        put(EventLoopMetrics.Kind.OTHER, about, call);
    }

    /** Danger: to read the clock for each event takes more of a small part of a core than most events do. */
    private void put(EventLoopMetrics.Kind kind, Request about, Supplier<Decision> call) {
        double came = kind == EventLoopMetrics.Kind.ARRIVAL ? about.arrived : UNKNOWN;
        try {
            queue.put(new Event(kind, came, about, call));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (!Thread.interrupted()) {
            try {
                double next = tellings == null ? wakeAt : Math.min(wakeAt, tellings.tellAt());
                next = comeback == null ? next : Math.min(next, comeback.wakeAt());
                next = shadow == null ? next : Math.min(next, shadow.wakeAt());
                double wait = Math.min(updates.isEmpty() ? LONGEST_WAIT : BETWEEN_SLICES, next - clock.now());
                long nanos = (long) (Math.max(0, wait) * 1e9);
                Event event = queue.poll(nanos, TimeUnit.NANOSECONDS);
                turnBegan = clock.now();
                int handled = 0;
                if (tellings != null) {
                    tellings.hear(clock.now());
                }
                for (; event != null; handled++) {
                    handle(event);
                    event = handled < AT_A_TIME ? queue.poll() : null;
                }
                if (handled > AT_A_TIME) {
                    words = IntStream.range(0, settings.grades().size()).mapToObj(this::word).toList();
                }
                if (wakeAt <= clock.now()) {
                    handle(new Event(EventLoopMetrics.Kind.TIMER, wakeAt, null, () -> balancer.wake(clock.now())));
                }
                // Danger: whatever owes its answer now goes before the list.
                if (!updates.isEmpty()) {
                    handle(own(EventLoopMetrics.Kind.LIST, this::nextSlice));
                }
                if (shadow != null) {
                    watch(s -> s.wake(clock.now()));
                    showAtTimes();
                }
                if (arrived > 0) {
                    hands.decided(arrived, clock.now() - turnBegan);
                    arrived = 0;
                }
                if (comeback != null) {
                    comeback.passes(clock.now(), balancer, tellings::startedAnew, hands::tell);
                }
                if (tellings != null) {
                    tellings.tellings(clock.now()).forEach(hands::tell);
                }
                hands.act();
                turned(clock.now());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** What nobody has waited for. */
    private Event own(EventLoopMetrics.Kind kind, Supplier<Decision> call) {
        return new Event(kind, UNKNOWN, null, call);
    }

    /** How it keeps up, as JSON. Any thread. */
    public String figures() {
        return figures.json();
    }

    private ShedThreshold word(int grade) {
        return settings.grades().get(grade) == null ? null : balancer.word(clock.now(), grade);
    }

    private void handle(Event event) {
        figures.handles(event.kind, turnBegan - event.came);
        carryOut(event);
    }

    private void turned(double now) {
        String line = figures.turned(now - turnBegan, queue.size(), now);
        if (line != null) {
            LOG.info("decision loop {}", line);
        }
    }

    /** Danger: an exception in one exchange must not end the proxy, nor leave the exchange unanswered. */
    private void carryOut(Event event) {
        try {
            Decision turn = event.call.get();
            if (turn != null) {
                carryOut(turn);
            }
        } catch (RuntimeException | Error e) {
            LOG.error("event failed", e);
            if (event.about != null && !event.about.over) {
                event.about.over = true;
                answer(event.about, false, 0);
                if (shadow != null) {
                    watch(s -> s.left(clock.now(), event.about));
                }
            }
            wakeAt = Math.min(wakeAt, clock.now() + 1);
        }
        // Danger: letting go of an exchange before the turn is carried out would leave it unanswered.
        if (event.about != null) {
            release(event.about);
        }
    }

    private void carryOut(Decision turn) {
        if (shadow != null) {
            watch(s -> s.decided(clock.now(), turn));
        }
        turn.cancels.forEach(hands::cancel);
        for (Attempt f : turn.sends) {
            directory.hold(f.backend);
            if (tellings != null) {
                tellings.sent(f.backend);
            }
            hands.send(f, open.get(f.exchange), directory.address(f.backend));
        }
        for (Decision.Answer a : turn.answers) {
            answer(a.exchange(), a.shed(), a.retryAfter());
            release(a.exchange());
        }
        for (int backend : turn.probes) {
            directory.hold(backend);
            hands.probe(backend, directory.address(backend));
        }
        turn.listCalls.forEach(hands::list);
        turn.notes.forEach(LOG::info);
        // Who is avoided changes with a list or with a note on it.
        if (!turn.notes.isEmpty()) {
            count();
        }
        wakeAt = turn.wakeAt;
    }

    private void answer(Request x, boolean shed, double retryAfter) {
        PendingRequest taken = open.get(x);
        if (taken != null) {
            hands.giveUp(taken, shed, retryAfter);
        }
    }

    /** Lets go of an exchange that is over and has nothing out. */
    private void release(Request x) {
        if (x.over && x.out == 0 && open.remove(x) != null) {
            // Danger: whether a forward may be repeated goes by where the earlier ones went.
            for (Attempt f = x.latest; f != null; f = f.earlier) {
                directory.letGo(f.backend);
            }
        }
    }
}
