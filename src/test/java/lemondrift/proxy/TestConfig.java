package lemondrift.proxy;

/** Builds the configuration of a proxy on loopback as text, with the changes that tests need. */
public final class TestConfig {
    /** Name of the idempotent request class. */
    public static final String IDEMPOTENT_CLASS = "look";

    /** Name of the request class that is not idempotent. */
    public static final String NOT_IDEMPOTENT_CLASS = "order";

    /** A loopback port on which nothing listens. */
    public static final int UNUSED_PORT = 1;

    /** Latency objective of both classes, in milliseconds. */
    public static final int LATENCY_OBJECTIVE_MILLIS = 1500;

    /** Timeout of both classes, in milliseconds. */
    public static final int TIMEOUT_MILLIS = 4000;

    private static final String CLASS_TIMES = classTimes(LATENCY_OBJECTIVE_MILLIS, TIMEOUT_MILLIS);

    private TestConfig() {}

    /** Returns the configuration of a proxy that watches discovery and sends no probes. */
    public static String json(int discoveryPort) {
        return json(discoveryPort, "pushed", false);
    }

    /**
     * Returns a configuration.
     *
     * @param membershipMode "pushed" to watch discovery, "on_request" to poll it
     * @param probes whether the proxy may probe backends for load reports
     */
    public static String json(int discoveryPort, String membershipMode, boolean probes) {
        String classTerms = CLASS_TIMES + ",\"benefit\":1,";
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                + discoveryPort
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":64},\"settings\":{\"siblings\":1,"
                + "\"zone\":0,\"localities\":[\"a\"],\"membershipMode\":\""
                + membershipMode
                + "\","
                + "\"limits\":{\"mayCancel\":true,\"probes\":"
                + probes
                + ",\"mostForwards\":4,\"retryAfter\":true,\"maxRetryAfter\":500,"
                + "\"connIdle\":10000,\"connectTimeout\":250},\"invariants\":{\"coldFrom\":0.3,\"cold\":8000,"
                + "\"fallMultiple\":3,\"overloadFor\":2000},\"report\":{\"how\":\"inline\",\"names\":"
                + "[\"queue\",\"util\"]},\"charges\":{\"probe\":0.001},\"serviceGrades\":[{\"name\":\""
                + IDEMPOTENT_CLASS
                + "\","
                + classTerms
                + "\"effect\":\"retryable\"},{\"name\":\""
                + NOT_IDEMPOTENT_CLASS
                + "\","
                + classTerms
                + "\"effect\":\"fragile\"}]}}";
    }

    /** Returns the configuration with a fixed port for clients instead of any free one. */
    public static String withListenPort(String json, int port) {
        return json.replace("127.0.0.1:0", "127.0.0.1:" + port);
    }

    /** Returns the configuration with another number of sockets. */
    public static String withSockets(String json, int sockets) {
        return json.replace("\"sockets\":64", "\"sockets\":" + sockets);
    }

    /** Returns the configuration with another latency objective and timeout of both classes. */
    public static String withClassTimes(
            String json, int latencyObjectiveMillis, int timeoutMillis) {
        return json.replace(CLASS_TIMES, classTimes(latencyObjectiveMillis, timeoutMillis));
    }

    private static String classTimes(int latencyObjectiveMillis, int timeoutMillis) {
        return "\"contractTime\":" + latencyObjectiveMillis + ",\"expiry\":" + timeoutMillis;
    }
}
