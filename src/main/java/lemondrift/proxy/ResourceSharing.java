package lemondrift.proxy;

import java.util.concurrent.TimeUnit;
import lemondrift.proxy.backend.BackendClient;
import lemondrift.proxy.client.ClientListener;
import lemondrift.proxy.health.TaskMonitor;
import lemondrift.proxy.health.TaskMonitor.Task;
import lemondrift.proxy.lifecycle.TakeoverLock;
import lemondrift.proxy.loop.DecisionLoop;
import org.xnio.XnioWorker;

/**
 * Limits this process to its share of connections and load while another process of the same proxy
 * runs, as during an upgrade. Polls for the other process on XNIO's task thread, which may block.
 */
final class ResourceSharing {
    /** Seconds between polls for another process. A start takes several times as long. */
    private static final double POLL_INTERVAL_SECONDS = 0.25;

    private final XnioWorker worker;
    private final ConfigReload configReload;
    private final ClientListener clientListener;
    private final BackendClient backendClient;
    private final DecisionLoop decisionLoop;
    private final TaskMonitor tasks;

    ResourceSharing(
            XnioWorker worker,
            ConfigReload configReload,
            ClientListener clientListener,
            BackendClient backendClient,
            DecisionLoop decisionLoop,
            TaskMonitor tasks) {
        this.worker = worker;
        this.configReload = configReload;
        this.clientListener = clientListener;
        this.backendClient = backendClient;
        this.decisionLoop = decisionLoop;
        this.tasks = tasks;
    }

    /** Polls at once and then periodically until the worker shuts down. */
    void watch(TakeoverLock takeoverLock) {
        takeoverLock.refresh();
        setProcessCount(takeoverLock.processCount());
        Runnable poll = tasks.monitored(Task.RESOURCE_SHARING, () -> poll(takeoverLock));
        worker.getIoThread()
                .executeAtInterval(
                        () -> worker.execute(poll),
                        (long) (POLL_INTERVAL_SECONDS * 1e9),
                        TimeUnit.NANOSECONDS);
    }

    private void poll(TakeoverLock takeoverLock) {
        if (takeoverLock.refresh()) {
            setProcessCount(takeoverLock.processCount());
        }
    }

    /** Divides the resources of this proxy among a number of processes. */
    void setProcessCount(int processCount) {
        double share = configReload.current().connectionShare(processCount);
        worker.getIoThread()
                .execute(
                        () -> {
                            clientListener.setResourceShare(share, processCount);
                            backendClient.setResourceShare(share);
                        });
        decisionLoop.setProcessCount(processCount);
    }
}
