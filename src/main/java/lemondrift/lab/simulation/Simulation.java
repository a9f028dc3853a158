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
    /**
     * A client asks again after this share of the latency objective where it is told nothing else.
     */
    private static final double RETRY_WAIT_SHARE = 0.5;

    /** How long a message from one proxy to another takes on average, in seconds. */
    private static final double GOSSIP_DELAY_SECONDS = 0.01;

    /** The share of the messages between proxies that is lost. */
    private static final double GOSSIP_LOSS_SHARE = 0.01;

    /** What a client wants: it sends it again until it is served, or has tried often enough. */
    private static final class ClientRequest {
        final int requestClass;
        final int second;
        final double objectiveAt;
        int tries;

        ClientRequest(int requestClass, int second, double until) {
            this.requestClass = requestClass;
            this.second = second;
            this.objectiveAt = until;
        }
    }

    /** One attempt in flight, and the work that it takes. */
    private static final class SentAttempt {
        final int proxy;
        final double work;
        Backend.Job job;
        Scheduler.Entry timeOut;

        SentAttempt(int proxy, double work) {
            this.proxy = proxy;
            this.work = work;
        }
    }

    private final Scenario scenario;
    private final Settings settings;
    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential interarrival;
    private final ZigguratSampler.NormalizedGaussian normal;
    private final Backend[] backends;
    private final int[] locations;
    private final double[] announcedStart;
    private final RoutingPolicy[] policies;
    private final Scheduler.Entry[] wakes;
    private final Referee referee;
    private final RunResult result;
    private final Map<Request, ClientRequest> openClientRequests = new HashMap<>();
    private final Map<Request, Scheduler.Entry> deadlines = new HashMap<>();
    private final Map<Attempt, SentAttempt> inFlight = new HashMap<>();
    private final BackendFaultInjector faultInjector;
    private final LoadEvenness evenness;
    private double silentUntil;
    private long requestCount;

    /** The deciders are made by the number of their proxy, and judged by all four rules. */
    public Simulation(Scenario scenario, IntFunction<RoutingPolicy> deciders) {
        this(scenario, 4, deciders);
    }

    /**
     * The same judged by the first rules alone: a baseline spares no cold backend, which is the
     * fourth.
     */
    public Simulation(Scenario scenario, int rules, IntFunction<RoutingPolicy> deciders) {
        this.scenario = scenario;
        settings = scenario.settings();
        result = new RunResult(scenario);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed());
        interarrival = ZigguratSampler.Exponential.of(random);
        normal = ZigguratSampler.NormalizedGaussian.of(random);
        backends = new Backend[scenario.backends()];
        locations = new int[scenario.backends()];
        announcedStart = new double[scenario.backends()];
        for (int i = 0; i < backends.length; i++) {
            backends[i] = new Backend(scheduler, scenario.cores(), settings.rules());
            locations[i] = i % settings.locationCount();
        }
        referee =
                new Referee(
                        settings,
                        rules,
                        scenario.grace(),
                        0,
                        scenario.proxies(),
                        locations,
                        scenario.cores());
        evenness =
                new LoadEvenness(scenario.backends(), scenario.cores(), settings.windowSeconds());
        faultInjector =
                new BackendFaultInjector(scheduler, random, backends, scenario.delay(), this);
        policies = new RoutingPolicy[scenario.proxies()];
        wakes = new Scheduler.Entry[scenario.proxies()];
        for (int p = 0; p < policies.length; p++) {
            policies[p] = deciders.apply(p);
        }
    }

    /** Plays the day to its end. Throws Referee.Broken at the first rule that is broken. */
    public RunResult play() {
        // The first lists come with the start; a proxy that knows no backend would reject all.
        List<EndpointUpdate> all = new ArrayList<>();
        for (int i = 0; i < backends.length; i++) {
            all.add(endpointUpdate(i, EndpointUpdate.State.READY));
        }
        for (int p = 0; p < policies.length; p++) {
            carryOut(p, policies[p].endpointsListed(scheduler.now(), true, all));
        }
        for (BackendFault each : scenario.troubles()) {
            scheduler.at(each.at(), () -> faultInjector.begins(each));
        }
        scheduler.after(interarrival.sample() / scenario.rate(), this::nextClientRequest);
        scheduler.at(scenario.lasts(), () -> result.evenness = evenness.measure(scheduler.now()));
        double longest =
                settings.requestClasses().stream()
                        .mapToDouble(RequestClass::timeoutSeconds)
                        .max()
                        .orElse(1);
        scheduler.runUntil(scenario.lasts() + (scenario.tries() + 1) * 2 * longest);
        if (!openClientRequests.isEmpty()) {
            throw new IllegalStateException(
                    openClientRequests.size() + " requests are open after the day");
        }
        return result;
    }

    private void recordLoad(int i) {
        evenness.holds(i, backends[i].held(), backends[i].isFit(), scheduler.now());
    }

    /**
     * What a backend truly has to do, in requests for each core that works; infinite where it is
     * gone.
     */
    public double trueLoad(int i) {
        Backend backend = backends[i];
        return !backend.isUp() || backend.silent > 0
                ? Double.POSITIVE_INFINITY
                : backend.load() + (backend.errors + backend.classErrors) * scenario.cores();
    }

    /** The figures counted so far. */
    public RunResult figures() {
        return result;
    }

    // Clients.

    private void nextClientRequest() {
        if (scheduler.now() >= scenario.lasts()) {
            return;
        }
        int classIndex = random.nextInt(settings.requestClasses().size());
        RequestClass requestClass = settings.requestClasses().get(classIndex);
        result.requestedWeight += requestClass.priorityWeight();
        result.clientRequests++;
        result.requestedWeightPerSecond[(int) scheduler.now()] += requestClass.priorityWeight();
        sendClientRequest(
                new ClientRequest(
                        classIndex,
                        (int) scheduler.now(),
                        scheduler.now() + requestClass.latencyObjectiveSeconds()));
        scheduler.after(
                interarrival.sample() / (scenario.rate() * faultInjector.traffic),
                this::nextClientRequest);
    }

    private void sendClientRequest(ClientRequest clientRequest) {
        clientRequest.tries++;
        RequestClass requestClass = settings.requestClasses().get(clientRequest.requestClass);
        int proxy = random.nextInt(policies.length);
        Request request =
                new Request(
                        ++requestCount,
                        clientRequest.requestClass,
                        0,
                        scheduler.now(),
                        requestClass.timeoutSeconds());
        openClientRequests.put(request, clientRequest);
        result.accepted++;
        referee.taken(proxy, request, scheduler.now());
        deadlines.put(
                request, scheduler.at(request.deadline, () -> deadlinePassed(proxy, request)));
        carryOut(proxy, policies[proxy].requestArrived(scheduler.now(), request));
    }

    private void deadlinePassed(int proxy, Request request) {
        result.unanswered++;
        openClientRequests.remove(request);
        referee.closed(proxy, request, false, scheduler.now());
    }

    private void responseReceived(
            int proxy, Request request, boolean delivered, boolean shed, double retryAfter) {
        referee.answered(proxy, request, shed, scheduler.now());
        ClientRequest clientRequest = openClientRequests.remove(request);
        if (clientRequest == null) {
            return;
        }
        deadlines.remove(request).cancel();
        RequestClass requestClass = settings.requestClasses().get(clientRequest.requestClass);
        if (delivered) {
            result.succeeded++;
            boolean inTime = scheduler.now() <= clientRequest.objectiveAt;
            double brought =
                    inTime ? requestClass.priorityWeight() : requestClass.latePriorityWeight();
            result.servedWeight += brought;
            result.servedWeightPerSecond[clientRequest.second] += brought;
            result.late += inTime ? 0 : 1;
            result.inTime += inTime ? 1 : 0;
        } else {
            result.rejected += shed ? 1 : 0;
            result.failed += shed ? 0 : 1;
            // What was failed may have run: a careful client does not ask for it again.
            if (shed && clientRequest.tries < scenario.tries()) {
                scheduler.after(
                        retryAfter > 0
                                ? retryAfter
                                : RETRY_WAIT_SHARE * requestClass.latencyObjectiveSeconds(),
                        () -> sendClientRequest(clientRequest));
            }
        }
        forgetIfDone(request);
    }

    private void forgetIfDone(Request request) {
        if (!openClientRequests.containsKey(request) && request.attemptsInFlight == 0) {
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
        double wakeAt = Math.min(decision.wakeAt, sendGossip(proxy));
        if (wakes[proxy] != null) {
            wakes[proxy].cancel();
        }
        wakes[proxy] =
                wakeAt == Double.POSITIVE_INFINITY
                        ? null
                        : scheduler.at(
                                wakeAt,
                                () -> carryOut(proxy, policies[proxy].wake(scheduler.now())));
        cancels.forEach(this::cancel);
        sends.forEach(attempt -> send(proxy, attempt));
        answers.forEach(
                a ->
                        responseReceived(
                                proxy, a.request(), false, a.rejected(), a.retryAfterSeconds()));
        probes.forEach(i -> probe(proxy, i));
    }

    /**
     * Messages between proxies take their time and some are lost; says when there is more to tell.
     */
    private double sendGossip(int proxy) {
        for (LoadGossip.Message each : policies[proxy].dueMessages(scheduler.now())) {
            result.gossipBytes += each.datagram().length;
            result.gossipMessages++;
            if (random.nextDouble() >= GOSSIP_LOSS_SHARE) {
                scheduler.after(
                        GOSSIP_DELAY_SECONDS * (0.5 + random.nextDouble()),
                        () -> gossipReceived(each.to(), proxy, each.datagram()));
            }
        }
        return policies[proxy].nextSendAt();
    }

    private void gossipReceived(int proxy, int from, byte[] datagram) {
        policies[proxy].datagramReceived(scheduler.now(), from, datagram);
        if (policies[proxy].nextSendAt() <= scheduler.now()) {
            carryOut(proxy, policies[proxy].wake(scheduler.now()));
        }
    }

    private void send(int proxy, Attempt attempt) {
        double spread = scenario.spread();
        double work =
                scenario.work()
                        * faultInjector.heavy
                        * Math.exp(spread * normal.sample() - spread * spread / 2);
        result.attempts++;
        referee.sent(proxy, attempt, work, scheduler.now());
        SentAttempt sent = new SentAttempt(proxy, work);
        inFlight.put(attempt, sent);
        sent.timeOut =
                scheduler.after(
                        Math.max(0, attempt.timeoutSeconds),
                        () -> {
                            dropJob(attempt, sent);
                            attemptEnded(attempt, AttemptOutcome.TIMED_OUT);
                        });
        scheduler.after(scenario.way(), () -> attemptReachesBackend(attempt, sent));
    }

    private void attemptReachesBackend(Attempt attempt, SentAttempt sent) {
        Backend backend = backends[attempt.backend];
        if (!inFlight.containsKey(attempt) || backend.silent > 0) {
            return;
        }
        evenness.sends(attempt.backend, scheduler.now());
        boolean errs =
                random.nextDouble()
                        < Math.max(
                                backend.errors,
                                attempt.request.requestClassIndex
                                                == settings.requestClasses().size() - 1
                                        ? backend.classErrors
                                        : 0);
        if (!backend.isUp()) {
            respond(attempt, AttemptOutcome.CONNECT_FAILED);
        } else if (backend.fallsOver(sent.work)) {
            // It stays down for the day: nobody brings it back.
            result.overloadedColdBackends++;
            faultInjector.dies(attempt.backend, true);
            respond(attempt, AttemptOutcome.CONNECT_FAILED);
        } else if (backend.isFull()) {
            respond(attempt, AttemptOutcome.OVERLOADED);
        } else if (errs) {
            respond(attempt, AttemptOutcome.ERROR);
        } else {
            sent.job =
                    backend.take(
                            sent.work,
                            ran -> {
                                recordLoad(attempt.backend);
                                respond(
                                        attempt,
                                        ran ? AttemptOutcome.SUCCESS : AttemptOutcome.RESET);
                            });
        }
        recordLoad(attempt.backend);
    }

    private void respond(Attempt attempt, AttemptOutcome outcome) {
        scheduler.after(scenario.way(), () -> attemptEnded(attempt, outcome));
    }

    private void attemptEnded(Attempt attempt, AttemptOutcome outcome) {
        SentAttempt sent = inFlight.remove(attempt);
        if (sent == null) {
            return;
        }
        sent.timeOut.cancel();
        referee.ended(attempt, outcome, scheduler.now());
        boolean wins = outcome == AttemptOutcome.SUCCESS && !attempt.request.completed;
        result.failedAttemptsByBackend[attempt.backend] +=
                outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.CANCELLED ? 0 : 1;
        if (outcome == AttemptOutcome.SUCCESS) {
            evenness.served(attempt.backend);
        }
        if (wins) {
            responseReceived(sent.proxy, attempt.request, true, false, 0);
        }
        double[] loadReport =
                outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.ERROR
                        ? loadReport(attempt.backend)
                        : null;
        carryOut(
                sent.proxy,
                policies[sent.proxy].attemptEnded(
                        scheduler.now(),
                        attempt,
                        outcome,
                        scheduler.now() - attempt.sentAt,
                        wins || attempt.request.completed,
                        loadReport));
        forgetIfDone(attempt.request);
    }

    /** A cancel drops what waits; what runs goes on to its end for nobody. */
    private void cancel(Attempt attempt) {
        SentAttempt sent = inFlight.get(attempt);
        if (sent != null) {
            dropJob(attempt, sent);
            scheduler.after(0, () -> attemptEnded(attempt, AttemptOutcome.CANCELLED));
        }
    }

    private void dropJob(Attempt attempt, SentAttempt sent) {
        if (sent.job != null) {
            backends[attempt.backend].drop(sent.job);
            recordLoad(attempt.backend);
        }
    }

    private double[] loadReport(int i) {
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
        result.probes++;
        scheduler.after(
                2 * scenario.way(),
                () -> {
                    boolean answers = backends[i].isUp() && backends[i].silent == 0;
                    carryOut(
                            proxy,
                            policies[proxy].probeEnded(
                                    scheduler.now(),
                                    i,
                                    answers
                                            ? AttemptOutcome.SUCCESS
                                            : AttemptOutcome.CONNECT_FAILED,
                                    answers ? loadReport(i) : null));
                });
    }

    // Discovery.

    private EndpointUpdate endpointUpdate(int i, EndpointUpdate.State state) {
        return new EndpointUpdate(i, false, locations[i], i, state, announcedStart[i]);
    }

    /** Tells all proxies of a backend, late, and later still while discovery says nothing. */
    @Override
    public void announce(int i, EndpointUpdate.State state) {
        double started = announcedStart[i];
        for (int p = 0; p < policies.length; p++) {
            int proxy = p;
            double at =
                    Math.max(scheduler.now(), silentUntil)
                            + scenario.delay() * (0.5 + random.nextDouble());
            scheduler.at(
                    at,
                    () -> {
                        referee.told(
                                proxy, i, state == EndpointUpdate.State.READY, scheduler.now());
                        carryOut(
                                proxy,
                                policies[proxy].endpointsListed(
                                        scheduler.now(),
                                        false,
                                        List.of(
                                                new EndpointUpdate(
                                                        i,
                                                        false,
                                                        locations[i],
                                                        i,
                                                        state,
                                                        started))));
                    });
        }
    }

    @Override
    public void restarted(int i) {
        announcedStart[i] = scheduler.now();
        referee.started(i, scheduler.now());
    }

    @Override
    public void silenceDiscovery(double seconds) {
        silentUntil = Math.max(silentUntil, scheduler.now() + seconds);
    }
}
