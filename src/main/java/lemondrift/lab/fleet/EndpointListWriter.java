package lemondrift.lab.fleet;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import lemondrift.model.EndpointUpdate;

/** Writes endpoint lists in the JSON of the discovery protocol. */
final class EndpointListWriter {
    private final BackendFleet backendFleet;
    private final int locationCount;

    EndpointListWriter(BackendFleet backendFleet, int locationCount) {
        this.backendFleet = backendFleet;
        this.locationCount = locationCount;
    }

    /** Writes the complete list, with the addresses at which a proxy reaches the backends. */
    String writeFullList(int proxy, int revision, List<EndpointChange> endpoints) {
        return writeList(proxy, revision, true, endpoints);
    }

    /**
     * Writes the changes since an earlier revision, with the addresses at which a proxy reaches the
     * backends.
     */
    String writeChanges(int proxy, int revision, List<EndpointChange> changes) {
        return writeList(proxy, revision, false, changes);
    }

    private String writeList(
            int proxy, int revision, boolean complete, List<EndpointChange> endpoints) {
        return "{\"revision\":"
                + revision
                + ",\"complete\":"
                + complete
                + ",\"members\":["
                + endpoints.stream()
                        .map(endpoint -> writeEndpoint(proxy, endpoint))
                        .collect(Collectors.joining(","))
                + "]}";
    }

    private String writeEndpoint(int proxy, EndpointChange endpoint) {
        int backend = endpoint.backend();
        return String.format(
                Locale.ROOT,
                "{\"id\":\"s-%d\",\"host_port\":\"%s\",\"locality\":\"l%d\",\"flavor\":\"m\","
                        + "\"cell\":%d,\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":%d}",
                backend,
                LoopbackAddresses.hostAndPort(backendFleet.addressForProxy(proxy, backend)),
                backend % locationCount,
                backend,
                phaseName(endpoint.state()),
                endpoint.upSinceMillis());
    }

    private static String phaseName(EndpointUpdate.State state) {
        return switch (state) {
            case READY -> "active";
            case DRAINING -> "leaving";
            case GONE -> "left";
        };
    }
}
