package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import lemondrift.lab.simulation.RunResult;
import lemondrift.model.EndpointUpdate;

/** The proxies of a testbed, or none where clients send their requests to the backends. */
interface TestbedProxies extends AutoCloseable {
    /** What the clients send their requests to. */
    ClientTargets clientTargets();

    /**
     * Starts all proxies and waits until clients can use them; not on the I/O thread.
     *
     * @param progress gets a line on how many are ready
     * @throws IllegalStateException where one ends, or is not ready in time
     */
    void start(Consumer<String> progress) throws InterruptedException;

    /**
     * Waits until clients can use all proxies again; not on the I/O thread.
     *
     * @throws IllegalStateException where one is not ready in time
     */
    void awaitOpen() throws InterruptedException;

    /** Announces the state of a backend to the proxies; I/O thread only. */
    void announce(int backend, EndpointUpdate.State state, long upSinceMillis);

    /** Holds back all later announcements for some time; I/O thread only. */
    void silenceDiscovery(double seconds);

    /** Lets the faults of processes come at their times, counted from now; I/O thread only. */
    void scheduleFaults(FaultPlan faultPlan, ClientFleet clients);

    /** Starts to measure what the processes use; returns at once. */
    void startUsageMeasurement();

    /** Adds what the processes have used to the figures of a day; returns at once. */
    void addUsageTo(RunResult result, double durationSeconds);

    /** Guards against a result that is handed out before what the processes used is in it. */
    void awaitProcessTasks() throws InterruptedException;

    /** Where a proxy listens for clients. */
    InetSocketAddress listenAddress(int proxy);

    /** Runs a task on the thread of the processes, without waiting for it. */
    void runOnProcessThread(Runnable task);

    /** Lets a proxy read its configuration again, without waiting for it. */
    void reload(int proxy);

    /**
     * Stops all processes with SIGTERM and waits for their end.
     *
     * @return a line on each that did not end well
     */
    List<String> stop() throws InterruptedException;

    /** Closes the connections of discovery; I/O thread only. */
    void closeConnections();

    /** Kills all processes that are left. */
    @Override
    void close();
}
