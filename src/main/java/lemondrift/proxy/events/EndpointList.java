package lemondrift.proxy.events;

import java.net.InetSocketAddress;
import java.util.List;
import lemondrift.model.EndpointUpdate;

/**
 * One list of discovery, as it was read.
 *
 * @param revision as discovery numbers its lists, or {@link #NO_REVISION}
 * @param complete whether it names all backends, so that one it leaves out has gone; else it names
 *     changes only
 * @param endpoints one for each backend, its last where the list names it twice
 * @param unreadable the members that could not be read, each with the reason
 */
public record EndpointList(
        long revision, boolean complete, List<Endpoint> endpoints, List<String> unreadable) {
    /** The revision of a list that states none. */
    public static final long NO_REVISION = -1;

    /**
     * What a list says of one backend.
     *
     * @param state null where no more than the id could be read
     * @param address null where it is not stated
     * @param locality the name of its location; null where it is not stated
     * @param cell null where it is not stated
     * @param weight relative capacity, 1 where it is not stated
     * @param startedAt when the backend started, in Unix time in seconds; 0 for long ago
     */
    public record Endpoint(
            String id,
            EndpointUpdate.State state,
            InetSocketAddress address,
            String locality,
            Integer cell,
            double weight,
            double startedAt) {
        /** Whether more than the id could be read. */
        public boolean isReadable() {
            return state != null;
        }

        /** One of which only the id could be read. */
        public static Endpoint unreadable(String id) {
            return new Endpoint(id, null, null, null, null, 1, 0);
        }
    }
}
