package lemondrift.lab.fleet;

import java.util.List;
import java.util.function.Consumer;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.BackendFaultInjector;
import lemondrift.lab.simulation.RunResult;

/** Plays one day of a testbed and measures it. Not on the I/O thread. */
final class TestbedRunner {
    /** How often it is measured how much the backends are able to serve. */
    private static final double CAPACITY_INTERVAL_SECONDS = 0.1;

    /** Within which all requests have to end after a day. */
    private static final double OPEN_REQUESTS_TIMEOUT_SECONDS = 60;

    /** Between two looks at what is waited for. */
    private static final long POLL_INTERVAL_MILLIS = 50;

    /**
     * A day that is to be played; traffic comes before its start too.
     *
     * @param startAt the time from which its figures count
     * @param faultPlan the faults of processes and between them
     */
    record MeasuredRun(
            double startAt,
            double durationSeconds,
            List<BackendFault> backendFaults,
            FaultPlan faultPlan) {
        double endAt() {
            return startAt + durationSeconds;
        }
    }

    private final TestbedContext context;
    private final RealTimeScheduler scheduler;
    private final OutcomeRecorder recorder;
    private final ClientFleet clientFleet;
    private final BackendFleet backendFleet;
    private final BackendFaultInjector backendFaultInjector;
    private final TestbedProxies proxies;
    private final Consumer<String> progress;

    TestbedRunner(
            TestbedContext context,
            ClientFleet clientFleet,
            BackendFleet backendFleet,
            BackendFaultInjector backendFaultInjector,
            TestbedProxies proxies,
            Consumer<String> progress) {
        this.context = context;
        this.scheduler = context.scheduler();
        this.recorder = context.recorder();
        this.clientFleet = clientFleet;
        this.backendFleet = backendFleet;
        this.backendFaultInjector = backendFaultInjector;
        this.proxies = proxies;
        this.progress = progress;
    }

    /**
     * Plays a day, and waits until all requests have ended and all proxies are back.
     *
     * @throws IllegalStateException where that takes too long, or something failed
     */
    FleetTestbed.RunOutcome run(MeasuredRun measuredRun) throws InterruptedException {
        scheduler.run(
                () -> {
                    clientFleet.start();
                    scheduler.at(measuredRun.startAt, () -> startRun(measuredRun));
                });
        reportProgressUntilEnd(measuredRun);
        RunResult result = scheduler.call(recorder::endRun);
        proxies.addUsageTo(result, measuredRun.durationSeconds);
        scheduler.run(clientFleet::stop);
        awaitOpenRequests();
        proxies.awaitOpen();
        proxies.awaitProcessTasks();
        return new FleetTestbed.RunOutcome(
                scheduler.call(recorder::finishResult), scheduler.call(recorder::brokenRule));
    }

    private void startRun(MeasuredRun measuredRun) {
        recorder.startRun();
        measureCapacityUntil(measuredRun.endAt());
        proxies.startUsageMeasurement();
        for (BackendFault fault : measuredRun.backendFaults) {
            scheduler.after(fault.startAt(), () -> backendFaultInjector.startFault(fault));
        }
        proxies.scheduleFaults(measuredRun.faultPlan, clientFleet);
    }

    private void measureCapacityUntil(double end) {
        recorder.recordCapacity(
                backendFleet.capacity()
                        * CAPACITY_INTERVAL_SECONDS
                        / (context.scenario().meanWorkSeconds() * backendFaultInjector.workFactor));
        if (scheduler.now() + CAPACITY_INTERVAL_SECONDS < end) {
            scheduler.after(CAPACITY_INTERVAL_SECONDS, () -> measureCapacityUntil(end));
        }
    }

    private void reportProgressUntilEnd(MeasuredRun measuredRun) throws InterruptedException {
        int reportedSecond = -1;
        while (scheduler.now() < measuredRun.endAt()) {
            int second = (int) (scheduler.now() - measuredRun.startAt);
            if (second > reportedSecond) {
                reportedSecond = second;
                progress.accept(
                        "playing, "
                                + second
                                + " of "
                                + (int) measuredRun.durationSeconds
                                + " s, open "
                                + openRequests());
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private int openRequests() throws InterruptedException {
        return scheduler.call(clientFleet::openRequestCount);
    }

    private void awaitOpenRequests() throws InterruptedException {
        double deadline = scheduler.now() + OPEN_REQUESTS_TIMEOUT_SECONDS;
        while (openRequests() > 0) {
            if (scheduler.now() > deadline) {
                throw new IllegalStateException(
                        openRequests() + " requests are open after the day");
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
