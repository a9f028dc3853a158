package lemondrift.connection;

import java.util.Locale;

/**
 * Counts connections that were closed, by reason, and connections that were refused because no
 * index was free.
 */
final class ConnectionCounts {
    private final long[] closed = new long[CloseReason.values().length];
    private long refused;

    void countClosed(CloseReason reason) {
        closed[reason.ordinal()]++;
    }

    void countRefused() {
        refused++;
    }

    long closed(CloseReason reason) {
        return closed[reason.ordinal()];
    }

    /**
     * Returns the number of connections in each state and these counts, as key=value pairs for a
     * log line.
     */
    String summary(ConnectionTable connections) {
        StringBuilder text = new StringBuilder();
        for (ConnectionState state : ConnectionState.values()) {
            append(text, state.name(), connections.count(state));
        }
        for (CloseReason reason : CloseReason.values()) {
            append(text, "closed_" + reason.name(), closed(reason));
        }
        return text.append("refused=").append(refused).toString();
    }

    private static void append(StringBuilder text, String key, long count) {
        text.append(key.toLowerCase(Locale.ROOT)).append('=').append(count).append(' ');
    }
}
