package lemondrift.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import lemondrift.gossip.LoadGossip;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.Attempt;
import lemondrift.model.Decision;
import lemondrift.model.Settings;
import lemondrift.proxy.backend.BackendClient;
import lemondrift.proxy.client.ClientListener;
import lemondrift.proxy.discovery.EndpointListWatch;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.proxy.gossip.GossipTransport;
import lemondrift.proxy.loop.DecisionLoop;
import lemondrift.settings.RequestClassIndex;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * Passes the decision loop's actions to the I/O thread. All actions of one flush are passed
 * together because each wakeup of that thread costs a context switch. Called on the decision thread
 * only.
 */
final class IoThreadActions implements ProxyActions {
    private static final Logger LOG = LoggerFactory.getLogger(IoThreadActions.class);

    private final XnioIoThread ioThread;
    private final ProxyMetrics metrics;
    private DecisionLoop decisionLoop;
    private ClientListener clientListener;
    private BackendClient backendClient;
    private EndpointListWatch endpointListWatch;
    private GossipTransport gossipTransport;

    /** Actions since the last flush, in the order in which they were requested. */
    private List<Runnable> pendingActions = new ArrayList<>();

    IoThreadActions(XnioIoThread ioThread, ProxyMetrics metrics) {
        this.ioThread = ioThread;
        this.metrics = metrics;
    }

    /**
     * Sets the objects that perform the actions. They are not constructor arguments because they
     * need the decision loop, which needs these actions. Call before the loop starts.
     *
     * @param gossipTransport sends gossip; null if the proxy exchanges none
     */
    void setTargets(
            DecisionLoop decisionLoop,
            ClientListener clientListener,
            BackendClient backendClient,
            EndpointListWatch endpointListWatch,
            GossipTransport gossipTransport) {
        this.decisionLoop = decisionLoop;
        this.clientListener = clientListener;
        this.backendClient = backendClient;
        this.endpointListWatch = endpointListWatch;
        this.gossipTransport = gossipTransport;
    }

    @Override
    public void send(Attempt attempt, PendingRequest pending, InetSocketAddress address) {
        pendingActions.add(() -> backendClient.send(attempt, pending, address));
    }

    @Override
    public void cancel(Attempt attempt) {
        pendingActions.add(() -> backendClient.cancel(attempt));
    }

    @Override
    public void probe(int backend, InetSocketAddress address) {
        pendingActions.add(() -> backendClient.probe(backend, address));
    }

    @Override
    public void requestEndpointList(Decision.EndpointListCall call) {
        pendingActions.add(() -> endpointListWatch.listRequested(call));
    }

    @Override
    public void deliver(PendingRequest pending, BackendResponse response) {
        pendingActions.add(() -> clientListener.deliver(pending, response));
    }

    @Override
    public void discard(BackendResponse response) {
        pendingActions.add(() -> response.remainder().abandonResponse());
    }

    @Override
    public void reject(PendingRequest pending, double retryAfterSeconds) {
        pendingActions.add(() -> clientListener.reject(pending, retryAfterSeconds));
    }

    @Override
    public void fail(PendingRequest pending) {
        pendingActions.add(() -> clientListener.fail(pending));
    }

    @Override
    public void retirePool(int backend) {
        pendingActions.add(() -> backendClient.retirePool(backend));
    }

    @Override
    public void requestsDecided(int requests, double seconds) {
        pendingActions.add(() -> clientListener.requestsDecided(requests, seconds));
    }

    @Override
    public void updateBackendCounts(int listed, int disabled) {
        pendingActions.add(() -> metrics.setBackendCounts(listed, disabled));
    }

    @Override
    public void settingsChanged(RequestClassIndex requestClasses, Settings settings) {
        pendingActions.add(
                () -> {
                    clientListener.settingsChanged(requestClasses, settings);
                    decisionLoop.settingsApplied(clientListener.classesInUse());
                });
    }

    @Override
    public void sendGossip(LoadGossip.Message message) {
        pendingActions.add(() -> gossipTransport.send(message));
    }

    @Override
    public void flush() {
        if (!pendingActions.isEmpty()) {
            List<Runnable> actions = pendingActions;
            pendingActions = new ArrayList<>();
            ioThread.execute(() -> actions.forEach(IoThreadActions::perform));
        }
    }

    /** Performs an action and logs its failure, which must not prevent the actions after it. */
    private static void perform(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("action of the decision loop failed on the I/O thread", e);
        }
    }
}
