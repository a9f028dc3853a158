package lemondrift.proxy;

/** Builds endpoint lists in the format of discovery. */
public final class DiscoveryMessages {
    private DiscoveryMessages() {}

    /**
     * Returns a list of a revision.
     *
     * @param complete true for the full list, false for the changes since the previous revision
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
     * Returns the entry of a backend on loopback.
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

    /** Returns the entries of active backends on loopback, one for each port. */
    public static String[] activeMembers(int... ports) {
        String[] members = new String[ports.length];
        for (int backend = 0; backend < ports.length; backend++) {
            members[backend] = member(backend, ports[backend], "active");
        }
        return members;
    }
}
