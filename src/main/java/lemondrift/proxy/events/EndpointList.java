package lemondrift.proxy.events;

import java.net.InetSocketAddress;
import java.util.List;
import lemondrift.model.EndpointUpdate;

/**
 * One list of discovery, read: its revision, whether it names all there are or changes only, and a
 * line for each backend, the last where it names one twice; and the lines that can't be read.
 */
public record EndpointList(
        long revision, boolean complete, List<Member> members, List<String> unreadable) {

    /**
     * One backend's line. Null stands for what the line does not tell; a line of which only the id
     * can be read has no state. The start is Unix time in seconds, 0 for long ago.
     */
    public record Member(
            String id,
            EndpointUpdate.State state,
            InetSocketAddress address,
            String locality,
            Integer cell,
            double size,
            double started) {
        public boolean isReadable() {
            return state != null;
        }

        public static Member unreadable(String id) {
            return new Member(id, null, null, null, null, 1, 0);
        }
    }
}
