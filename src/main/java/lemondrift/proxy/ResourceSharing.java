package lemondrift.proxy;

import java.util.concurrent.TimeUnit;
import lemondrift.proxy.backend.BackendClient;
import lemondrift.proxy.client.ClientListener;
import lemondrift.proxy.lifecycle.TakeoverLock;
import lemondrift.proxy.loop.DecisionLoop;
import org.xnio.XnioWorker;

/**
 * Keeps this process to its share of connections and load while another process of the same proxy
 * lives, as during an upgrade. Looks for the other one on XNIO's task thread, which may block.
 */
final class ResourceSharing {
    /** Seconds between two looks for another process; a start takes several times as long. */
    private static final double POLL_INTERVAL_SECONDS = 0.25;

    private final XnioWorker worker;
    private final ConfigReload configReload;
    private final ClientListener clientListener;
    private final BackendClient backendClient;
    private final DecisionLoop decisionLoop;

    ResourceSharing(
            XnioWorker worker,
            ConfigReload configReload,
            ClientListener clientListener,
            BackendClient backendClient,
            DecisionLoop decisionLoop) {
        this.worker = worker;
        this.configReload = configReload;
        this.clientListener = clientListener;
        this.backendClient = backendClient;
        this.decisionLoop = decisionLoop;
    }

    /** Looks at once, then again and again as long as the worker lives. */
    void watch(TakeoverLock takeoverLock) {
        takeoverLock.refresh();
        setProcessCount(takeoverLock.processCount());
        worker.getIoThread()
                .executeAtInterval(
                        () -> worker.execute(() -> poll(takeoverLock)),
                        (long) (POLL_INTERVAL_SECONDS * 1e9),
                        TimeUnit.NANOSECONDS);
    }

    private void poll(TakeoverLock takeoverLock) {
        if (takeoverLock.refresh()) {
            setProcessCount(takeoverLock.processCount());
        }
    }

    /** Divides what the platform gives this proxy among so many processes. */
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
