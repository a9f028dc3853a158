package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.IntFunction;
import java.util.function.IntSupplier;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.RunResult;
import lemondrift.lab.simulation.Scenario;
import lemondrift.lab.simulation.Scheduler;
import lemondrift.model.Idempotency;
import lemondrift.model.RequestClass;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.xnio.XnioIoThread;

/**
 * The clients, an open loop: what they want comes at the day's rate whatever becomes of what came
 * before, and its latency counts from when it was due. A front deals them out among the doors: the
 * proxies, or without these the backends. I/O thread only.
 */
final class ClientFleet implements AutoCloseable {
    /** Doors that one request is tried at, where each refuses. */
    private static final int MOST_DOORS = 5;

    /**
     * A client asks again after this share of the latency objective where it is told nothing else.
     */
    private static final double WAIT = 0.5;

    /** Seconds between two requests of those who stay with a door that is to close. */
    private static final double STAYS = 0.01;

    /** What a client wants: it asks until it has it, or has asked often enough. */
    private static final class Want {
        final int grade;
        final double due;
        final double work;
        final int second;

        /** Of the day in which it was due. */
        final RunResult figures;

        int tries;

        Want(int requestClass, double due, int second, double work, RunResult result) {
            this.grade = requestClass;
            this.due = due;
            this.second = second;
            this.work = work;
            this.figures = result;
        }
    }

    /** One request on its way. */
    private final class Ask implements HttpConnection.Hearer {
        final Want want;
        final String trace = run + "-" + ++asks;
        int door;
        int tried;
        boolean crossed;
        boolean over;
        boolean isOut;
        OutcomeRecorder.Asked its;
        Scheduler.Entry end;
        HttpConnection talk;

        Ask(Want want) {
            this.want = want;
        }

        /** On a connection that there is. */
        void begins(int at, HttpConnection on) {
            door = at;
            holders.put(on, this);
            sends(on);
        }

        void begins() {
            door = pick.getAsInt();
            if (door < 0 || ++tried > MOST_DOORS) {
                want.figures.unreached++;
                refused(0);
                return;
            }
            Deque<HttpConnection> idle = pools.computeIfAbsent(door, d -> new ArrayDeque<>());
            HttpConnection kept = idle.pollFirst();
            while (kept != null && !kept.isOpen()) {
                kept = idle.pollFirst();
            }
            if (kept != null) {
                holders.put(kept, this);
                sends(kept);
            } else {
                opens();
            }
        }

        private void opens() {
            HttpConnection.open(
                    io,
                    address.apply(door),
                    router,
                    opened -> {
                        if (over) {
                            if (opened != null) {
                                opened.close();
                            }
                        } else if (opened != null) {
                            holders.put(opened, this);
                            sends(opened);
                        } else if (its == null) {
                            closes(door);
                            begins();
                        } else {
                            // The request crossed the close of its connection, and there is no
                            // other.
                            ended(null);
                        }
                    });
        }

        private void sends(HttpConnection on) {
            talk = on;
            isOut(true);
            RequestClass requestClass = scenario.settings().requestClasses().get(want.grade);
            if (its == null) {
                its = recorder.taken(trace, direct ? 0 : door, want.grade, want.work);
                end = scheduler.at(its.x.deadline + OutcomeRecorder.SLACK, this::expires);
            }
            long left = Math.round(1000 * (its.x.deadline - scheduler.now()));
            on.write(
                    HttpConnection.message(
                            (requestClass.idempotency() == Idempotency.IDEMPOTENT ? "GET" : "POST")
                                    + " /api HTTP/1.1\r\n"
                                    + "Host: origin.svc\r\nX-Trace-Id: "
                                    + trace
                                    + "\r\nX-Qos: "
                                    + Experiment.GRADES.get(want.grade)
                                    + "\r\nX-Expires-In-Ms: "
                                    + left,
                            requestClass.idempotency() == Idempotency.IDEMPOTENT ? NONE : BODY));
        }

        private void isOut(boolean now) {
            if (isOut != now) {
                isOut = now;
                out.merge(door, now ? 1 : -1, Integer::sum);
            }
        }

        @Override
        public void heard(HttpConnection on, String head, byte[] body) {
            holders.remove(on);
            isOut(false);
            String status = head.length() < 12 ? "" : head.substring(9, 12);
            String close = HttpConnection.field(head, "connection");
            if ("close".equalsIgnoreCase(close)) {
                on.close();
            } else {
                pools.get(door).addFirst(on);
            }
            boolean shed = status.equals("503") || status.equals("429");
            if (direct && shed && tried < MOST_DOORS) {
                begins();
                return;
            }
            recorder.answered(its, shed);
            done();
            if (status.equals("200")) {
                served();
            } else if (shed) {
                want.figures.rejected++;
                want.figures.rejectedPerSecond[recorder.second(scheduler.now())]++;
                String after = HttpConnection.field(head, "retry-after");
                refused(after == null ? 0 : Double.parseDouble(after));
            } else {
                want.figures.failed++;
                wanting--;
            }
        }

        private void served() {
            want.figures.succeeded++;
            RequestClass requestClass = scenario.settings().requestClasses().get(want.grade);
            double durationSeconds = scheduler.now() - want.due;
            recorder.served(want.figures, durationSeconds);
            boolean inTime = durationSeconds <= requestClass.latencyObjectiveSeconds();
            want.figures.inTime += inTime ? 1 : 0;
            want.figures.late += inTime ? 0 : 1;
            double brought =
                    inTime ? requestClass.priorityWeight() : requestClass.latePriorityWeight();
            want.figures.servedWeight += brought;
            want.figures.servedWeightPerSecond[want.second] += brought;
            wanting--;
        }

        /** It was not answered; trying again is harmless. */
        private void refused(double after) {
            RequestClass requestClass = scenario.settings().requestClasses().get(want.grade);
            if (want.tries < scenario.tries()
                    && scheduler.now() - want.due < requestClass.timeoutSeconds()) {
                scheduler.after(
                        after > 0 ? after : WAIT * requestClass.latencyObjectiveSeconds(),
                        () -> asks(want));
            } else {
                wanting--;
            }
        }

        /** The connection has ended without an answer. */
        @Override
        public void ended(HttpConnection on) {
            holders.remove(talk);
            if (its != null && on != null && on.used && !crossed && !direct) {
                crossed = true;
                // Who is told to end takes nobody new; its front sends them elsewhere.
                if (!clientDistributor.isOpen(door)) {
                    isOut(false);
                    door = Math.max(0, pick.getAsInt());
                }
                opens();
                return;
            }
            lost();
        }

        private void lost() {
            recorder.closed(its);
            done();
            want.figures.unanswered++;
            closes(door);
            if (scenario.settings().requestClasses().get(want.grade).idempotency()
                            == Idempotency.IDEMPOTENT
                    && recorder.isExcused(its)) {
                refused(0);
            } else {
                wanting--;
            }
        }

        private void expires() {
            holders.remove(talk);
            if (talk != null) {
                talk.close();
            }
            lost();
        }

        private void closes(int door) {
            if (!direct) {
                clientDistributor.closes(door);
            }
        }

        private void done() {
            over = true;
            isOut(false);
            end.cancel();
            // An attempt may still be out for it.
            scheduler.after(
                    2 * scenario.settings().requestClasses().get(want.grade).timeoutSeconds()
                            + OutcomeRecorder.SLACK,
                    () -> recorder.forgets(trace));
        }
    }

    /** Hands what comes on a connection to the request that it is used for. */
    private final class Router implements HttpConnection.Hearer {
        @Override
        public void heard(HttpConnection talk, String head, byte[] body) {
            Ask ask = holders.get(talk);
            if (ask != null) {
                ask.heard(talk, head, body);
            } else {
                talk.close();
            }
        }

        @Override
        public void ended(HttpConnection talk) {
            Ask ask = holders.get(talk);
            if (ask != null) {
                ask.ended(talk);
            }
        }
    }

    private static final byte[] BODY = "what".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NONE = {};

    private final Scenario scenario;
    private final Scheduler scheduler;
    private final XnioIoThread io;
    private final OutcomeRecorder recorder;

    /** Null where clients go to the backends. */
    private final ClientDistributor clientDistributor;

    private final boolean direct;
    private final String run;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential gaps;
    private final ZigguratSampler.NormalizedGaussian bell;
    private final IntFunction<InetSocketAddress> address;
    private final IntSupplier pick;
    private final DoubleSupplier traffic;
    private final DoubleSupplier heavy;
    private final Router router = new Router();
    private final Map<Integer, Deque<HttpConnection>> pools = new HashMap<>();
    private final Map<HttpConnection, Ask> holders = new HashMap<>();
    private final Map<Integer, Integer> out = new HashMap<>();
    private boolean asking;
    private int wanting;
    private long asks;

    /**
     * Each asks at the door that is picked: a proxy's, or a backend's where there are no proxies'
     * doors. Traffic and heavy say by how much there is more than usual.
     */
    ClientFleet(
            Scenario scenario,
            String run,
            IntFunction<InetSocketAddress> address,
            IntSupplier pick,
            ClientDistributor clientDistributor,
            Scheduler scheduler,
            XnioIoThread io,
            OutcomeRecorder recorder,
            UniformRandomProvider random,
            DoubleSupplier traffic,
            DoubleSupplier heavy) {
        this.scenario = scenario;
        this.run = run;
        this.address = address;
        this.scheduler = scheduler;
        this.io = io;
        this.recorder = recorder;
        this.random = random;
        this.traffic = traffic;
        this.heavy = heavy;
        this.pick = pick;
        this.clientDistributor = clientDistributor;
        direct = clientDistributor == null;
        gaps = ZigguratSampler.Exponential.of(random);
        bell = ZigguratSampler.NormalizedGaussian.of(random);
    }

    /** Wants begin to come, until they are stopped. */
    void begins() {
        asking = true;
        scheduler.after(gaps.sample() / scenario.rate(), this::comes);
    }

    void stops() {
        asking = false;
    }

    /**
     * Whoever has a connection to a door goes on asking there until a time, or until there is none.
     */
    void stays(int door, double until) {
        if (!asking || scheduler.now() >= until) {
            return;
        }
        HttpConnection kept = pools.computeIfAbsent(door, none -> new ArrayDeque<>()).pollLast();
        if (kept != null && kept.isOpen()) {
            new Ask(want()).begins(door, kept);
        }
        scheduler.after(STAYS, () -> stays(door, until));
    }

    /** How many requests are out at a door. */
    int out(int door) {
        return out.getOrDefault(door, 0);
    }

    /** How many wants have not ended. */
    int wanting() {
        return wanting;
    }

    private Want want() {
        double spread = scenario.spread();
        int requestClass = random.nextInt(scenario.settings().requestClasses().size());
        wanting++;
        int second =
                recorder.wants(
                        requestClass,
                        scenario.settings().requestClasses().get(requestClass).priorityWeight());
        return new Want(
                requestClass,
                scheduler.now(),
                second,
                scenario.work()
                        * heavy.getAsDouble()
                        * Math.exp(spread * bell.sample() - spread * spread / 2),
                recorder.figures());
    }

    private void comes() {
        if (!asking) {
            return;
        }
        asks(want());
        scheduler.after(gaps.sample() / (scenario.rate() * traffic.getAsDouble()), this::comes);
    }

    private void asks(Want want) {
        want.tries++;
        new Ask(want).begins();
    }

    @Override
    public void close() {
        asking = false;
        pools.values().forEach(idle -> idle.forEach(HttpConnection::close));
        holders.keySet().forEach(HttpConnection::close);
    }
}
