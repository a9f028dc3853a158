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
 * Passes events and decisions to the shadow evaluator and logs its counts. Does nothing if there is
 * no evaluator. Decision thread only.
 */
final class ShadowRunner {
    private static final Logger LOG = LoggerFactory.getLogger(ShadowRunner.class);

    /** Shortest time between two log lines with the counts. */
    private static final double LOG_INTERVAL_SECONDS = 60;

    private final MonotonicClock clock;

    /** Null if no shadow settings are configured, and after an error has ended the shadow. */
    private ShadowEvaluator evaluator;

    private double loggedAt;

    ShadowRunner(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Enables the shadow. Must be called before the loop starts. */
    void enable(Settings settings, long seed) {
        evaluator = new ShadowEvaluator(settings, seed);
        loggedAt = clock.now();
    }

    /** Returns the evaluator; null if the shadow is not enabled or was ended by an error. */
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
     * Passes reloaded settings to the shadow.
     *
     * @param shadowSettings null if the new configuration has none; the shadow then keeps its
     *     settings
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

    /**
     * Returns when the shadow is to be woken, in seconds of the proxy's clock; infinity if there is
     * no evaluator or nothing is due.
     */
    double wakeAt() {
        return evaluator == null ? Double.POSITIVE_INFINITY : evaluator.wakeAt();
    }

    /** Wakes the shadow if it is due, and logs the counts if the last such line is old enough. */
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
     * Runs an action of the shadow. Guards against an error of the shadow that affects a request:
     * any runtime exception ends the shadow only.
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
