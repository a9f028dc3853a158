package lemondrift.lab.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import lemondrift.lab.Experiment;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.Idempotency;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;

/** Writes the configuration files of the proxies, with the same keys as in a deployment. */
final class ProxyConfigWriter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MILLIS_PER_SECOND = 1000;

    /** Keeps the seeds of different proxies apart. */
    private static final long SEED_STEP = 1000;

    /** The cores that a proxy may use. */
    private static final double CORES = 1.0;

    /** The memory that a proxy may use. */
    private static final int MEMORY_MEGABYTES = 192;

    /** How many sockets a proxy may have open. */
    private static final int MAX_SOCKETS = 1024;

    /** The time after which an idle connection is closed. */
    private static final int IDLE_CONNECTION_MILLIS = 10_000;

    /** The time within which a connection to a backend must be established. */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    private final Settings settings;
    private final boolean gossipEnabled;
    private final List<String> peerAddresses;
    private int writeCount;

    /**
     * Creates a writer for all proxies.
     *
     * @param gossipEnabled whether the proxies exchange gossip messages
     * @param peerAddresses the addresses at which the proxies reach one another, by proxy number,
     *     as "host:port"
     */
    ProxyConfigWriter(Settings settings, boolean gossipEnabled, List<String> peerAddresses) {
        this.settings = settings;
        this.gossipEnabled = gossipEnabled;
        this.peerAddresses = peerAddresses;
    }

    /**
     * Returns the configuration of one start of a proxy, in JSON, with a seed that no other start
     * has.
     *
     * @throws IOException if the known backends are not valid JSON
     */
    String write(int proxy, ProxyEndpoints endpoints) throws IOException {
        ObjectNode root = JSON.createObjectNode();
        root.put("name", ProxyProcesses.proxyName(proxy))
                .put("listen", LoopbackAddresses.hostAndPort(endpoints.listen()))
                .put("discovery", LoopbackAddresses.hostAndPort(endpoints.discovery()))
                .put("seed", Long.toHexString(SEED_STEP * proxy + ++writeCount));
        root.putObject("limits")
                .put("cores", CORES)
                .put("memory_mb", MEMORY_MEGABYTES)
                .put("sockets", MAX_SOCKETS);
        root.put("peer_listen", LoopbackAddresses.hostAndPort(endpoints.gossip()));
        ArrayNode peers = root.putArray("peers");
        peerAddresses.forEach(peers::add);
        root.set("known", JSON.readTree(endpoints.knownBackends()));
        writeSettings(proxy, root.putObject("settings"));
        return root.toString();
    }

    private void writeSettings(int proxy, ObjectNode node) {
        writeLocations(proxy, node);
        writeLimits(node.putObject("limits"));
        writeRules(node.putObject("invariants"));
        node.putObject("report").put("how", "inline").putArray("names").add("util").add("queue");
        node.putObject("charges")
                .put("crossZone", settings.costs().crossZone())
                .put("probe", settings.costs().probe());
        writeRequestClasses(node.putArray("serviceGrades"));
    }

    private void writeLocations(int proxy, ObjectNode node) {
        int locations = settings.locationCount();
        node.put("siblings", settings.proxyCount())
                .put("zone", proxy % locations)
                .put("slotNo", proxy);
        ArrayNode localities = node.putArray("localities");
        for (int location = 0; location < locations; location++) {
            localities.add("l" + location);
        }
        node.put("membershipMode", "pushed");
    }

    private void writeLimits(ObjectNode node) {
        Settings.Limits limits = settings.limits();
        node.put("mayCancel", limits.canCancel())
                .put("probes", limits.canProbe())
                .put("mostForwards", limits.maxAttempts())
                .put("retryAfter", true)
                .put("maxRetryAfter", MILLIS_PER_SECOND * limits.maxRetryAfterSeconds())
                .put("connIdle", IDLE_CONNECTION_MILLIS)
                .put("connectTimeout", CONNECT_TIMEOUT_MILLIS)
                .put("mayTell", gossipEnabled);
    }

    private void writeRules(ObjectNode node) {
        Settings.Rules rules = settings.rules();
        node.put("coldFrom", rules.slowStartMinShare())
                .put("cold", MILLIS_PER_SECOND * rules.slowStartSeconds())
                .put("fallMultiple", rules.overloadFactor())
                .put("overloadFor", MILLIS_PER_SECOND * rules.overloadWindowSeconds());
    }

    private void writeRequestClasses(ArrayNode node) {
        for (int i = 0; i < settings.requestClasses().size(); i++) {
            RequestClass requestClass = settings.requestClasses().get(i);
            node.addObject()
                    .put("name", Experiment.REQUEST_CLASS_NAMES.get(i))
                    .put("benefit", requestClass.priorityWeight())
                    .put("contractTime", MILLIS_PER_SECOND * requestClass.latencyObjectiveSeconds())
                    .put("expiry", MILLIS_PER_SECOND * requestClass.timeoutSeconds())
                    .put("effect", effectName(requestClass.idempotency()))
                    .put("group", groupName(requestClass.deduplicationScope()))
                    .put("keyTtl", MILLIS_PER_SECOND * requestClass.idempotencyKeyTtlSeconds());
        }
    }

    private static String effectName(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "retryable";
            case IDEMPOTENT_WITH_KEY -> "dedup";
            case NOT_IDEMPOTENT -> "fragile";
        };
    }

    private static String groupName(DeduplicationScope scope) {
        return scope == DeduplicationScope.ALL ? "all" : "zone";
    }
}
