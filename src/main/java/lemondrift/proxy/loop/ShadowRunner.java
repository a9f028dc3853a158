package lemondrift.proxy.loop;

import java.util.List;
import java.util.function.Consumer;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import lemondrift.proxy.time.MonotonicClock;
import lemondrift.settings.RequestClassIndex;
import lemondrift.shadow.ShadowEvaluator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes events and decisions on to the shadow evaluator, if there is one, and logs its counts.
 * Does nothing where no shadow settings are set. Decisions thread only.
 */
final class ShadowRunner {
    private static final Logger LOG = LoggerFactory.getLogger(ShadowRunner.class);

    /** Seconds between two log lines with the counts. */
    private static final double LOG_INTERVAL_SECONDS = 60;

    private final MonotonicClock clock;

    /** Null where no shadow settings are set, and once an error has ended the shadow. */
    private ShadowEvaluator evaluator;

    private double loggedAt;

    ShadowRunner(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Before the loop starts. */
    void enable(Settings settings, long seed) {
        evaluator = new ShadowEvaluator(settings, seed);
        loggedAt = clock.now();
    }

    /** Null where there is none. */
    ShadowEvaluator evaluator() {
        return evaluator;
    }

    void requestArrived(Request request) {
        if (evaluator != null) {
            run(shadow -> shadow.requestArrived(clock.now(), request));
        }
    }

    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            boolean requestCompleted,
            double[] loadReport) {
        if (evaluator != null) {
            run(
                    shadow ->
                            shadow.attemptEnded(
                                    clock.now(),
                                    attempt,
                                    outcome,
                                    durationSeconds,
                                    requestCompleted,
                                    loadReport));
        }
    }

    void probeEnded(int backend, AttemptOutcome outcome, double[] loadReport) {
        if (evaluator != null) {
            run(shadow -> shadow.probeEnded(clock.now(), backend, outcome, loadReport));
        }
    }

    void requestAbandoned(Request request) {
        if (evaluator != null) {
            run(shadow -> shadow.requestAbandoned(clock.now(), request));
        }
    }

    void endpointsListed(boolean knownBeforeStart, List<EndpointUpdate> updates) {
        if (evaluator != null) {
            run(shadow -> shadow.endpointsListed(clock.now(), false, knownBeforeStart, updates));
        }
    }

    void decisionMade(Decision decision) {
        if (evaluator != null) {
            run(shadow -> shadow.decisionMade(clock.now(), decision));
        }
    }

    /**
     * The settings were reloaded; the shadow's own are null where the new configuration has none.
     */
    void settingsChanged(Settings shadowSettings, RequestClassIndex requestClasses) {
        if (evaluator != null && shadowSettings != null) {
            run(
                    shadow ->
                            shadow.settingsChanged(
                                    shadowSettings.reloaded(
                                            shadowSettings,
                                            requestClasses.classesByIndex(
                                                    shadowSettings.requestClasses())),
                                    requestClasses.reassigned()));
        }
    }

    /** When the shadow wants to be woken; infinite where there is none. */
    double wakeAt() {
        return evaluator == null ? Double.POSITIVE_INFINITY : evaluator.wakeAt();
    }

    /** Wakes the shadow where it is due, and logs the counts where that is due. */
    void iterationEnded() {
        if (evaluator != null) {
            run(shadow -> shadow.wake(clock.now()));
        }
        if (evaluator != null && clock.now() >= loggedAt + LOG_INTERVAL_SECONDS) {
            loggedAt = clock.now();
            logSummary();
        }
    }

    void logSummary() {
        if (evaluator != null) {
            LOG.info("shadow: {}", evaluator.summary());
        }
    }

    /**
     * Guards against an error of the shadow that touches a request: it ends the shadow alone,
     * whatever it is.
     */
    private void run(Consumer<ShadowEvaluator> event) {
        try {
            event.accept(evaluator);
        } catch (RuntimeException e) {
            LOG.error("shadow ended by an error", e);
            evaluator = null;
        }
    }
}
