package lemondrift.proxy;

/** Endpoint lists as discovery writes them. */
public final class DiscoveryMessages {
    private DiscoveryMessages() {}

    /**
     * A list of one revision.
     *
     * @param complete whether it is the full list, or changes since the revision before
     */
    public static String endpointList(int revision, boolean complete, String... members) {
        return "{\"revision\":"
                + revision
                + ",\"complete\":"
                + complete
                + ",\"members\":["
                + String.join(",", members)
                + "]}";
    }

    /**
     * A backend on loopback.
     *
     * @param phase "active", "leaving" or "left"
     */
    public static String member(int backend, int port, String phase) {
        return "{\"id\":\"s-"
                + backend
                + "\",\"host_port\":\"127.0.0.1:"
                + port
                + "\",\"locality\":\"a\","
                + "\"flavor\":\"m\",\"cell\":0,\"phase\":\""
                + phase
                + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    /** Active backends on loopback, one for each port. */
    public static String[] activeMembers(int... ports) {
        String[] members = new String[ports.length];
        for (int backend = 0; backend < ports.length; backend++) {
            members[backend] = member(backend, ports[backend], "active");
        }
        return members;
    }
}
