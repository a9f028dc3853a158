package lemondrift.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import lemondrift.gossip.LoadGossip;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Plays one day in virtual time: clients, proxies, backends and discovery, with a referee over all
 * of it.
 */
public final class Simulation implements BackendFaultInjector.Host {
    /** A client asks again after this share of the contract time where it is told nothing else. */
    private static final double WAIT = 0.5;

    /**
     * How long a message from one proxy to another takes on average, and how many of them are lost.
     */
    private static final double MESSAGE = 0.01;

    private static final double LOST = 0.01;

    /** What a client wants: it asks until it has it, or has asked often enough. */
    private static final class Want {
        final int grade;
        final int second;
        final double until;
        int tries;

        Want(int requestClass, int second, double until) {
            this.grade = requestClass;
            this.second = second;
            this.until = until;
        }
    }

    /** One forward while it is out. */
    private static final class Out {
        final int proxy;
        final double work;
        Backend.Job job;
        Scheduler.Entry timeOut;

        Out(int proxy, double work) {
            this.proxy = proxy;
            this.work = work;
        }
    }

    private final Scenario day;
    private final Settings settings;
    private final VirtualScheduler agenda = new VirtualScheduler();
    private final UniformRandomProvider chance;
    private final ZigguratSampler.Exponential gaps;
    private final ZigguratSampler.NormalizedGaussian bell;
    private final Backend[] backends;
    private final int[] location;
    private final double[] startTold;
    private final RoutingPolicy[] proxies;
    private final Scheduler.Entry[] wakes;
    private final Referee referee;
    private final RunResult figures;
    private final Map<Request, Want> wants = new HashMap<>();
    private final Map<Request, Scheduler.Entry> expiries = new HashMap<>();
    private final Map<Attempt, Out> out = new HashMap<>();
    private final BackendFaultInjector troubles;
    private final LoadEvenness evenness;
    private double silentUntil;
    private long exchanges;

    /** The deciders are made by the number of their proxy, and judged by all four rules. */
    public Simulation(Scenario day, IntFunction<RoutingPolicy> deciders) {
        this(day, 4, deciders);
    }

    /**
     * The same judged by the first rules alone: a baseline spares no cold backend, which is the
     * fourth.
     */
    public Simulation(Scenario day, int rules, IntFunction<RoutingPolicy> deciders) {
        this.day = day;
        settings = day.settings();
        figures = new RunResult(day);
        chance = RandomSource.XO_RO_SHI_RO_128_PP.create(day.seed());
        gaps = ZigguratSampler.Exponential.of(chance);
        bell = ZigguratSampler.NormalizedGaussian.of(chance);
        backends = new Backend[day.backends()];
        location = new int[day.backends()];
        startTold = new double[day.backends()];
        for (int i = 0; i < backends.length; i++) {
            backends[i] = new Backend(agenda, day.cores(), settings.rules());
            location[i] = i % settings.locationCount();
        }
        referee =
                new Referee(settings, rules, day.grace(), 0, day.proxies(), location, day.cores());
        evenness = new LoadEvenness(day.backends(), day.cores(), settings.windowSeconds());
        troubles = new BackendFaultInjector(agenda, chance, backends, day.delay(), this);
        proxies = new RoutingPolicy[day.proxies()];
        wakes = new Scheduler.Entry[day.proxies()];
        for (int p = 0; p < proxies.length; p++) {
            proxies[p] = deciders.apply(p);
        }
    }

    /** Plays the day to its end. Throws Referee.Broken at the first rule that is broken. */
    public RunResult play() {
        // The first lists come with the start; a proxy that knows no backend would shed all.
        List<EndpointUpdate> all = new ArrayList<>();
        for (int i = 0; i < backends.length; i++) {
            all.add(line(i, EndpointUpdate.State.READY));
        }
        for (int p = 0; p < proxies.length; p++) {
            carryOut(p, proxies[p].listed(agenda.now(), true, all));
        }
        for (BackendFault each : day.troubles()) {
            agenda.at(each.at(), () -> troubles.begins(each));
        }
        agenda.in(gaps.sample() / day.rate(), this::comes);
        agenda.at(day.lasts(), () -> figures.evenness = evenness.measure(agenda.now()));
        double longest =
                settings.requestClasses().stream()
                        .mapToDouble(RequestClass::timeoutSeconds)
                        .max()
                        .orElse(1);
        agenda.runUntil(day.lasts() + (day.tries() + 1) * 2 * longest);
        if (!wants.isEmpty()) {
            throw new IllegalStateException(wants.size() + " exchanges are open after the day");
        }
        return figures;
    }

    private void holds(int i) {
        evenness.holds(i, backends[i].held(), backends[i].isFit(), agenda.now());
    }

    /**
     * What a backend truly has to do, in exchanges for each core that works; infinite where it is
     * gone.
     */
    public double trueLoad(int i) {
        Backend backend = backends[i];
        return !backend.isUp() || backend.silent > 0
                ? Double.POSITIVE_INFINITY
                : backend.load() + (backend.errors + backend.gradeErrors) * day.cores();
    }

    /** What has come of the day so far. */
    public RunResult figures() {
        return figures;
    }

    // Clients.

    private void comes() {
        if (agenda.now() >= day.lasts()) {
            return;
        }
        int classIndex = chance.nextInt(settings.requestClasses().size());
        RequestClass requestClass = settings.requestClasses().get(classIndex);
        figures.wanted += requestClass.priorityWeight();
        figures.wants++;
        figures.wantedIn[(int) agenda.now()] += requestClass.priorityWeight();
        asks(
                new Want(
                        classIndex,
                        (int) agenda.now(),
                        agenda.now() + requestClass.latencyObjectiveSeconds()));
        agenda.in(gaps.sample() / (day.rate() * troubles.traffic), this::comes);
    }

    private void asks(Want want) {
        want.tries++;
        RequestClass requestClass = settings.requestClasses().get(want.grade);
        int proxy = chance.nextInt(proxies.length);
        Request request =
                new Request(
                        ++exchanges, want.grade, 0, agenda.now(), requestClass.timeoutSeconds());
        wants.put(request, want);
        figures.taken++;
        referee.taken(proxy, request, agenda.now());
        expiries.put(request, agenda.at(request.deadline, () -> expires(proxy, request)));
        carryOut(proxy, proxies[proxy].arrived(agenda.now(), request));
    }

    private void expires(int proxy, Request request) {
        figures.unanswered++;
        wants.remove(request);
        referee.closed(proxy, request, false, agenda.now());
    }

    private void answered(
            int proxy, Request request, boolean delivered, boolean shed, double retryAfter) {
        referee.answered(proxy, request, shed, agenda.now());
        Want want = wants.remove(request);
        if (want == null) {
            return;
        }
        expiries.remove(request).strike();
        RequestClass requestClass = settings.requestClasses().get(want.grade);
        if (delivered) {
            figures.delivered++;
            boolean inTime = agenda.now() <= want.until;
            double brought =
                    inTime ? requestClass.priorityWeight() : requestClass.latePriorityWeight();
            figures.served += brought;
            figures.servedIn[want.second] += brought;
            figures.late += inTime ? 0 : 1;
            figures.inTime += inTime ? 1 : 0;
        } else {
            figures.shed += shed ? 1 : 0;
            figures.scrapped += shed ? 0 : 1;
            // What was scrapped may have run: a careful client does not ask for it again.
            if (shed && want.tries < day.tries()) {
                agenda.in(
                        retryAfter > 0 ? retryAfter : WAIT * requestClass.latencyObjectiveSeconds(),
                        () -> asks(want));
            }
        }
        forgetIfDone(request);
    }

    private void forgetIfDone(Request request) {
        if (!wants.containsKey(request) && request.attemptsInFlight == 0) {
            referee.forgets(request);
        }
    }

    // Proxies.

    private void carryOut(int proxy, Decision decision) {
        // The next call reuses the turn: what it asks for is taken out of it first.
        List<Attempt> cancels = List.copyOf(decision.cancellations);
        List<Attempt> sends = List.copyOf(decision.attempts);
        List<Decision.LocalReply> answers = List.copyOf(decision.localReplies);
        List<Integer> probes = List.copyOf(decision.probes);
        double wakeAt = Math.min(decision.wakeAt, tell(proxy));
        if (wakes[proxy] != null) {
            wakes[proxy].strike();
        }
        wakes[proxy] =
                wakeAt == Double.POSITIVE_INFINITY
                        ? null
                        : agenda.at(
                                wakeAt, () -> carryOut(proxy, proxies[proxy].woken(agenda.now())));
        cancels.forEach(this::cancel);
        sends.forEach(attempt -> send(proxy, attempt));
        answers.forEach(
                a -> answered(proxy, a.request(), false, a.rejected(), a.retryAfterSeconds()));
        probes.forEach(i -> probe(proxy, i));
    }

    /**
     * Messages between proxies take their time and some are lost; says when there is more to tell.
     */
    private double tell(int proxy) {
        for (LoadGossip.Message each : proxies[proxy].tellings(agenda.now())) {
            figures.told += each.datagram().length;
            figures.messages++;
            if (chance.nextDouble() >= LOST) {
                agenda.in(
                        MESSAGE * (0.5 + chance.nextDouble()),
                        () -> hears(each.to(), proxy, each.datagram()));
            }
        }
        return proxies[proxy].tellAt();
    }

    private void hears(int proxy, int from, byte[] datagram) {
        proxies[proxy].told(agenda.now(), from, datagram);
        if (proxies[proxy].tellAt() <= agenda.now()) {
            carryOut(proxy, proxies[proxy].woken(agenda.now()));
        }
    }

    private void send(int proxy, Attempt attempt) {
        double spread = day.spread();
        double work =
                day.work()
                        * troubles.heavy
                        * Math.exp(spread * bell.sample() - spread * spread / 2);
        figures.forwards++;
        referee.sent(proxy, attempt, work, agenda.now());
        Out its = new Out(proxy, work);
        out.put(attempt, its);
        its.timeOut =
                agenda.in(
                        Math.max(0, attempt.timeoutSeconds),
                        () -> {
                            drops(attempt, its);
                            ended(attempt, AttemptOutcome.TIMED_OUT);
                        });
        agenda.in(day.way(), () -> reaches(attempt, its));
    }

    private void reaches(Attempt attempt, Out its) {
        Backend backend = backends[attempt.backend];
        if (!out.containsKey(attempt) || backend.silent > 0) {
            return;
        }
        evenness.sends(attempt.backend, agenda.now());
        boolean errs =
                chance.nextDouble()
                        < Math.max(
                                backend.errors,
                                attempt.request.requestClass == settings.requestClasses().size() - 1
                                        ? backend.gradeErrors
                                        : 0);
        if (!backend.isUp()) {
            back(attempt, AttemptOutcome.CONNECT_FAILED);
        } else if (backend.fallsOver(its.work)) {
            // It stays down for the day: nobody brings it back.
            figures.fallen++;
            troubles.dies(attempt.backend, true);
            back(attempt, AttemptOutcome.CONNECT_FAILED);
        } else if (backend.isFull()) {
            back(attempt, AttemptOutcome.OVERLOADED);
        } else if (errs) {
            back(attempt, AttemptOutcome.ERROR);
        } else {
            its.job =
                    backend.take(
                            its.work,
                            ran -> {
                                holds(attempt.backend);
                                back(attempt, ran ? AttemptOutcome.SUCCESS : AttemptOutcome.RESET);
                            });
        }
        holds(attempt.backend);
    }

    private void back(Attempt attempt, AttemptOutcome outcome) {
        agenda.in(day.way(), () -> ended(attempt, outcome));
    }

    private void ended(Attempt attempt, AttemptOutcome outcome) {
        Out its = out.remove(attempt);
        if (its == null) {
            return;
        }
        its.timeOut.strike();
        referee.ended(attempt, outcome, agenda.now());
        boolean wins = outcome == AttemptOutcome.SUCCESS && !attempt.request.completed;
        figures.failedAt[attempt.backend] +=
                outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.CANCELLED ? 0 : 1;
        if (outcome == AttemptOutcome.SUCCESS) {
            evenness.served(attempt.backend);
        }
        if (wins) {
            answered(its.proxy, attempt.request, true, false, 0);
        }
        double[] loadReport =
                outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.ERROR
                        ? report(attempt.backend)
                        : null;
        carryOut(
                its.proxy,
                proxies[its.proxy].ended(
                        agenda.now(),
                        attempt,
                        outcome,
                        agenda.now() - attempt.sentAt,
                        wins || attempt.request.completed,
                        loadReport));
        forgetIfDone(attempt.request);
    }

    /** A cancel drops what waits; what runs goes on to its end for nobody. */
    private void cancel(Attempt attempt) {
        Out its = out.get(attempt);
        if (its != null) {
            drops(attempt, its);
            agenda.in(0, () -> ended(attempt, AttemptOutcome.CANCELLED));
        }
    }

    private void drops(Attempt attempt, Out its) {
        if (its.job != null) {
            backends[attempt.backend].drop(its.job);
            holds(attempt.backend);
        }
    }

    private double[] report(int i) {
        double[] loadReport = new double[3];
        if (settings.loadReports().utilizationField() >= 0) {
            loadReport[settings.loadReports().utilizationField()] = backends[i].utilisation();
        }
        if (settings.loadReports().inFlightField() >= 0) {
            loadReport[settings.loadReports().inFlightField()] = backends[i].queued();
        }
        return loadReport;
    }

    private void probe(int proxy, int i) {
        figures.probes++;
        agenda.in(
                2 * day.way(),
                () -> {
                    boolean answers = backends[i].isUp() && backends[i].silent == 0;
                    carryOut(
                            proxy,
                            proxies[proxy].probed(
                                    agenda.now(),
                                    i,
                                    answers
                                            ? AttemptOutcome.SUCCESS
                                            : AttemptOutcome.CONNECT_FAILED,
                                    answers ? report(i) : null));
                });
    }

    // Discovery.

    private EndpointUpdate line(int i, EndpointUpdate.State state) {
        return new EndpointUpdate(i, false, location[i], i, state, startTold[i]);
    }

    /** Tells all proxies of a backend, late, and later still while discovery says nothing. */
    @Override
    public void tells(int i, EndpointUpdate.State state) {
        double started = startTold[i];
        for (int p = 0; p < proxies.length; p++) {
            int proxy = p;
            double at =
                    Math.max(agenda.now(), silentUntil) + day.delay() * (0.5 + chance.nextDouble());
            agenda.at(
                    at,
                    () -> {
                        referee.told(proxy, i, state == EndpointUpdate.State.READY, agenda.now());
                        carryOut(
                                proxy,
                                proxies[proxy].listed(
                                        agenda.now(),
                                        false,
                                        List.of(
                                                new EndpointUpdate(
                                                        i,
                                                        false,
                                                        location[i],
                                                        i,
                                                        state,
                                                        started))));
                    });
        }
    }

    @Override
    public void restarted(int i) {
        startTold[i] = agenda.now();
        referee.started(i, agenda.now());
    }

    @Override
    public void silent(double seconds) {
        silentUntil = Math.max(silentUntil, agenda.now() + seconds);
    }
}
