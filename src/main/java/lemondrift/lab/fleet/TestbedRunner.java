package lemondrift.lab.fleet;

import java.util.List;
import java.util.function.Consumer;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.BackendFaultInjector;
import lemondrift.lab.simulation.RunResult;

/** Executes single runs of a testbed and measures them. Must not be used on the I/O thread. */
final class TestbedRunner {
    /** The time between two measurements of the backends' capacity. */
    private static final double CAPACITY_INTERVAL_SECONDS = 0.1;

    /** The time within which all open requests must end after a run. */
    private static final double OPEN_REQUESTS_TIMEOUT_SECONDS = 60;

    /** The time between two checks of a condition that is waited for. */
    private static final long POLL_INTERVAL_MILLIS = 50;

    /**
     * A run to be executed. Traffic starts before {@code startAt}, to warm up the testbed.
     *
     * @param startAt the time from which the results count, in seconds of the scheduler
     * @param faultPlan the faults of processes and of the channels between them
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
     * Executes a run, then waits until all requests have ended and all proxies are open again.
     *
     * @throws IllegalStateException if that takes too long or a task of the testbed has failed
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
                        "running, "
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
                        openRequests()
                                + " requests are still open "
                                + OPEN_REQUESTS_TIMEOUT_SECONDS
                                + " s after the run");
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
