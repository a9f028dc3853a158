package lemondrift.proxy.events;

import java.net.InetSocketAddress;
import java.util.List;
import lemondrift.model.EndpointUpdate;

/**
 * An endpoint list as it was read from discovery.
 *
 * @param revision the number that discovery gave the list, or {@link #NO_REVISION}
 * @param complete whether it contains all backends, so that a backend it does not contain is gone;
 *     else it contains only changes
 * @param endpoints one element for each backend; if the list contains a backend more than once, the
 *     last one
 * @param unreadable the elements that could not be read, each with the reason
 */
public record EndpointList(
        long revision, boolean complete, List<Endpoint> endpoints, List<String> unreadable) {
    /** The revision of a list without one. */
    public static final long NO_REVISION = -1;

    /**
     * One backend in a list.
     *
     * @param state null if only the id could be read
     * @param address null if the list does not state it
     * @param locality the name of its zone; null if the list does not state it
     * @param cell null if the list does not state it
     * @param weight relative capacity; 1 if the list does not state it
     * @param startedAt when the backend started, in seconds of Unix time; 0 if it started long ago
     *     or the time is unknown
     */
    public record Endpoint(
            String id,
            EndpointUpdate.State state,
            InetSocketAddress address,
            String locality,
            Integer cell,
            double weight,
            double startedAt) {
        /** Returns whether more than the id could be read. */
        public boolean isReadable() {
            return state != null;
        }

        /** Returns an endpoint of which only the id could be read. */
        public static Endpoint unreadable(String id) {
            return new Endpoint(id, null, null, null, null, 1, 0);
        }
    }
}
