package lemondrift.lab.simulation;

import java.util.HashMap;
import java.util.Map;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The network between the proxies and the backends of a simulation: delivers attempts, responses
 * and probes with the network delay, and carries out cancellations.
 */
final class SimulatedTransport {
    /** The number of fields of a load report. */
    private static final int LOAD_REPORT_FIELDS = 3;

    /** An attempt in flight. */
    private static final class SentAttempt {
        final int proxy;

        /** The work for the backend, in seconds of one warm core. */
        final double workSeconds;

        /** The backend's job for the attempt; null until the backend accepts it. */
        Backend.Job job;

        Scheduler.Entry timeoutAlarm;

        SentAttempt(int proxy, double workSeconds) {
            this.proxy = proxy;
            this.workSeconds = workSeconds;
        }
    }

    private final Scenario scenario;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian normal;
    private final SimulationRecorder recorder;
    private final Backend[] backends;
    private final BackendFaultInjector faultInjector;
    private final SimulatedClients clients;
    private final SimulatedProxies proxies;
    private final Map<Attempt, SentAttempt> inFlight = new HashMap<>();

    SimulatedTransport(
            Scenario scenario,
            Scheduler scheduler,
            UniformRandomProvider random,
            SimulationRecorder recorder,
            Backend[] backends,
            BackendFaultInjector faultInjector,
            SimulatedClients clients,
            SimulatedProxies proxies) {
        this.scenario = scenario;
        this.scheduler = scheduler;
        this.random = random;
        this.normal = ZigguratSampler.NormalizedGaussian.of(random);
        this.recorder = recorder;
        this.backends = backends;
        this.faultInjector = faultInjector;
        this.clients = clients;
        this.proxies = proxies;
    }

    /** Sends an attempt, which ends no later than its timeout. */
    void send(int proxy, Attempt attempt) {
        SentAttempt sent = new SentAttempt(proxy, drawWorkSeconds());
        recorder.recordAttemptSent(proxy, attempt, sent.workSeconds);
        inFlight.put(attempt, sent);
        sent.timeoutAlarm =
                scheduler.after(
                        Math.max(0, attempt.timeoutSeconds), () -> attemptTimedOut(attempt, sent));
        scheduler.after(scenario.oneWaySeconds(), () -> attemptReachesBackend(attempt, sent));
    }

    /**
     * Draws the work of an attempt from a lognormal distribution with the scenario's mean, in
     * seconds of one warm core.
     */
    private double drawWorkSeconds() {
        double spread = scenario.workLogStandardDeviation();
        return scenario.meanWorkSeconds()
                * faultInjector.workFactor
                * Math.exp(spread * normal.sample() - spread * spread / 2);
    }

    private void attemptTimedOut(Attempt attempt, SentAttempt sent) {
        dropJob(attempt, sent);
        attemptEnded(attempt, AttemptOutcome.TIMED_OUT);
    }

    private void attemptReachesBackend(Attempt attempt, SentAttempt sent) {
        Backend backend = backends[attempt.backend];
        if (!inFlight.containsKey(attempt) || backend.activeSilenceFaults > 0) {
            return;
        }
        recorder.recordArrivalAtBackend(attempt.backend);
        // Drawn before the checks: the random draws of a seed must not depend on their results.
        boolean failsByFault = random.nextDouble() < errorShare(backend, attempt.request);
        if (!backend.isUp()) {
            respond(attempt, AttemptOutcome.CONNECT_FAILED);
        } else if (backend.addWorkAndCheckOverload(sent.workSeconds)) {
            // The backend stays down for the rest of the scenario: no end of a fault restarts it.
            recorder.recordOverloadedColdBackend();
            faultInjector.takeDown(attempt.backend, true);
            respond(attempt, AttemptOutcome.CONNECT_FAILED);
        } else if (backend.isFull()) {
            respond(attempt, AttemptOutcome.OVERLOADED);
        } else if (failsByFault) {
            respond(attempt, AttemptOutcome.ERROR);
        } else {
            sent.job = backend.submit(sent.workSeconds, completed -> jobEnded(attempt, completed));
        }
        recorder.recordLoad(attempt.backend, backend);
    }

    private double errorShare(Backend backend, Request request) {
        int lastClass = scenario.settings().requestClasses().size() - 1;
        return backend.errorShare(request.requestClassIndex == lastClass);
    }

    private void jobEnded(Attempt attempt, boolean completed) {
        recorder.recordLoad(attempt.backend, backends[attempt.backend]);
        respond(attempt, completed ? AttemptOutcome.SUCCESS : AttemptOutcome.RESET);
    }

    private void respond(Attempt attempt, AttemptOutcome outcome) {
        scheduler.after(scenario.oneWaySeconds(), () -> attemptEnded(attempt, outcome));
    }

    private void attemptEnded(Attempt attempt, AttemptOutcome outcome) {
        SentAttempt sent = inFlight.remove(attempt);
        if (sent == null) {
            return;
        }
        sent.timeoutAlarm.cancel();
        recorder.recordAttemptEnded(attempt, outcome);
        boolean isFirstSuccess = outcome == AttemptOutcome.SUCCESS && !attempt.request.completed;
        if (isFirstSuccess) {
            clients.succeeded(sent.proxy, attempt.request);
        }
        boolean responded = outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.ERROR;
        proxies.attemptEnded(
                sent.proxy,
                attempt,
                outcome,
                isFirstSuccess || attempt.request.completed,
                responded ? loadReport(attempt.backend) : null);
        clients.forgetIfDone(attempt.request);
    }

    /**
     * Cancels an attempt: its job is removed from the queue if it waits, and runs to its end if it
     * has started.
     */
    void cancel(Attempt attempt) {
        SentAttempt sent = inFlight.get(attempt);
        if (sent != null) {
            dropJob(attempt, sent);
            scheduler.after(0, () -> attemptEnded(attempt, AttemptOutcome.CANCELLED));
        }
    }

    private void dropJob(Attempt attempt, SentAttempt sent) {
        if (sent.job != null) {
            Backend backend = backends[attempt.backend];
            backend.drop(sent.job);
            recorder.recordLoad(attempt.backend, backend);
        }
    }

    /** Requests the load report of a backend. */
    void probe(int proxy, int backend) {
        recorder.recordProbe();
        scheduler.after(2 * scenario.oneWaySeconds(), () -> probeEnded(proxy, backend));
    }

    private void probeEnded(int proxy, int backend) {
        if (backends[backend].isAvailable()) {
            proxies.probeEnded(proxy, backend, AttemptOutcome.SUCCESS, loadReport(backend));
        } else {
            proxies.probeEnded(proxy, backend, AttemptOutcome.CONNECT_FAILED, null);
        }
    }

    private double[] loadReport(int backend) {
        Settings.LoadReports fields = scenario.settings().loadReports();
        double[] loadReport = new double[LOAD_REPORT_FIELDS];
        if (fields.utilizationField() >= 0) {
            loadReport[fields.utilizationField()] = backends[backend].utilization();
        }
        if (fields.inFlightField() >= 0) {
            loadReport[fields.inFlightField()] = backends[backend].queuedRequestCount();
        }
        return loadReport;
    }
}
