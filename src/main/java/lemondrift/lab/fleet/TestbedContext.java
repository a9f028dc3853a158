package lemondrift.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Supplier;
import lemondrift.lab.simulation.Scenario;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * What all parts of one testbed share.
 *
 * @param scenario the sizes, rates and settings of the day
 * @param seed from which each part that draws by itself makes its own random numbers
 * @param random the random numbers of all that happens on the I/O thread; that thread only
 * @param worker the worker with the testbed's one I/O thread
 * @param scheduler the time, and the tasks of the I/O thread
 * @param recorder judges what clients, backends and discovery see; I/O thread only
 * @param currentFaultPlan the faults of the day that is played; any thread
 * @param folder where the proxies' configurations and logs are
 */
record TestbedContext(
        Scenario scenario,
        long seed,
        UniformRandomProvider random,
        XnioWorker worker,
        RealTimeScheduler scheduler,
        OutcomeRecorder recorder,
        Supplier<FaultPlan> currentFaultPlan,
        Path folder) {
    /**
     * Starts the I/O thread and makes the folder.
     *
     * @param checkedRules how many rules the recorder judges by, the first ones
     * @throws IOException where that fails
     */
    static TestbedContext create(
            Scenario scenario, long seed, int checkedRules, Supplier<FaultPlan> currentFaultPlan)
            throws IOException {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        Path folder = Files.createTempDirectory("lemondrift-fleet");
        XnioWorker worker = createWorker();
        RealTimeScheduler scheduler = new RealTimeScheduler(worker.getIoThread());
        OutcomeRecorder recorder = new OutcomeRecorder(scenario, checkedRules, scheduler::now);
        return new TestbedContext(
                scenario, seed, random, worker, scheduler, recorder, currentFaultPlan, folder);
    }

    private static XnioWorker createWorker() throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_IO_THREADS, 1)
                                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                .set(Options.WORKER_NAME, "testbed")
                                .set(Options.THREAD_DAEMON, true)
                                .getMap());
    }

    XnioIoThread ioThread() {
        return worker.getIoThread();
    }

    FaultPlan faultPlan() {
        return currentFaultPlan.get();
    }
}
