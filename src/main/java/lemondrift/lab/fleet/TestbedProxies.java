package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import lemondrift.lab.simulation.RunResult;
import lemondrift.model.EndpointUpdate;

/**
 * The proxies of a testbed, or a substitute without processes if clients send their requests to the
 * backends.
 */
interface TestbedProxies extends AutoCloseable {
    /** Returns the targets of client requests. */
    ClientTargets clientTargets();

    /**
     * Starts all proxies and waits until clients can use them. Must not be called on the I/O
     * thread.
     *
     * @param progress receives lines about how many proxies are ready
     * @throws IllegalStateException if a proxy ends or is not ready in time
     */
    void start(Consumer<String> progress) throws InterruptedException;

    /**
     * Waits until clients can use all proxies again. Must not be called on the I/O thread.
     *
     * @throws IllegalStateException if a proxy is not ready in time
     */
    void awaitOpen() throws InterruptedException;

    /** Announces the state of a backend to the proxies; I/O thread only. */
    void announce(int backend, EndpointUpdate.State state, long upSinceMillis);

    /** Delays all later announcements until a number of seconds has passed; I/O thread only. */
    void silenceDiscovery(double seconds);

    /** Schedules the faults of processes at their times, counted from now; I/O thread only. */
    void scheduleFaults(FaultPlan faultPlan, ClientFleet clients);

    /** Starts to measure the resource usage of the processes; does not wait for it. */
    void startUsageMeasurement();

    /** Adds the resource usage of the processes to the results of a run; does not wait for it. */
    void addUsageTo(RunResult result, double durationSeconds);

    /**
     * Waits until all earlier tasks of the process thread have ended. Guards against returning a
     * result before the resource usage of the processes has been added to it.
     */
    void awaitProcessTasks() throws InterruptedException;

    /**
     * Returns the address at which a proxy listens for clients.
     *
     * @throws IllegalStateException if the testbed has no proxies
     */
    InetSocketAddress listenAddress(int proxy);

    /**
     * Runs a task on the process thread, without waiting for it.
     *
     * @throws IllegalStateException if the testbed has no processes
     */
    void runOnProcessThread(Runnable task);

    /**
     * Sends SIGHUP to a proxy, which then reloads its configuration; does not wait for it.
     *
     * @throws IllegalStateException if the testbed has no processes
     */
    void reload(int proxy);

    /**
     * Stops all processes with SIGTERM and waits for their end.
     *
     * @return one line for each process that did not exit normally; empty if there is none
     */
    List<String> stop() throws InterruptedException;

    /** Closes the connections of the discovery agents; I/O thread only. */
    void closeConnections();

    /** Kills all processes that are still running. */
    @Override
    void close();
}
