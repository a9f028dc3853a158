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
 * The objects that all parts of one testbed share.
 *
 * @param scenario the sizes, rates and settings of the run
 * @param seed the seed from which parts with their own random numbers create them
 * @param random the random numbers of all tasks on the I/O thread; I/O thread only
 * @param worker the worker with the testbed's one I/O thread
 * @param scheduler the clock and the scheduler of tasks on the I/O thread
 * @param recorder records and checks the events that clients, backends and discovery observe; I/O
 *     thread only
 * @param currentFaultPlan returns the faults of the current run; any thread
 * @param folder the folder of the proxies' configurations and logs
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
     * Starts the I/O thread and creates the folder.
     *
     * @param checkedRules how many rules the recorder checks, counted from the first
     * @throws IOException if the thread cannot be started or the folder cannot be created
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
