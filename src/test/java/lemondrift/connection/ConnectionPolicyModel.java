package lemondrift.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Simulates the clients of a {@link ConnectionPolicy} without sockets. Records the history of each
 * client; each check derives from it what the policy must and must not have done.
 */
final class ConnectionPolicyModel implements ConnectionPolicy.Actions {
    /**
     * A client's connection: when it was accepted, when each byte of its current request was sent,
     * and its state.
     */
    static final class Client {
        final double acceptedAt;
        final long address;
        double enteredStateAt;
        ConnectionState state = ConnectionState.NEW;
        final List<Double> byteTimes = new ArrayList<>();
        boolean hasUnreadBytes;

        /** Whether the client has closed the connection and nobody has read the close yet. */
        boolean hasUnreadClose;

        boolean wasAnswered;
        CloseReason closeReason;

        Client(double acceptedAt, long address) {
            this.acceptedAt = acceptedAt;
            this.address = address;
            enteredStateAt = acceptedAt;
        }
    }

    final ConnectionLimits limits;
    final ConnectionPolicy policy;
    final Map<Integer, Client> clients = new LinkedHashMap<>();
    final List<Client> closed = new ArrayList<>();
    double now = 1000;

    /** Whether the next close fails with an exception and changes nothing. */
    boolean failsNextClose;

    ConnectionPolicyModel(ConnectionLimits limits) {
        this.limits = limits;
        policy = new ConnectionPolicy(limits, this, 7);
        sweep();
    }

    /** Returns a model in which each connection is its own source. */
    static ConnectionPolicyModel withSourcePerConnection(int maxConnections) {
        return new ConnectionPolicyModel(
                limits(maxConnections, ConnectionLimits.Sharing.CONNECTION));
    }

    static ConnectionLimits limits(int maxConnections, ConnectionLimits.Sharing sharing) {
        return new ConnectionLimits(
                maxConnections,
                maxConnections + maxConnections / 10 + 1,
                2.2,
                2,
                sharing,
                false,
                2048,
                1);
    }

    @Override
    public boolean hasNoUnreadBytes(int connection) {
        Client client = clients.get(connection);
        if (client.hasUnreadBytes) {
            client.hasUnreadBytes = false;
            sendBytes(connection, 1);
            return false;
        }
        if (client.hasUnreadClose) {
            disconnect(connection);
        }
        return true;
    }

    @Override
    public void close(int connection, CloseReason reason) {
        if (failsNextClose) {
            failsNextClose = false;
            throw new IllegalStateException("this close fails");
        }
        Client client = clients.get(connection);
        assertNotNull(client, "closed a connection that is already closed");
        assertNotEquals(
                ConnectionState.AWAITING_RESPONSE, client.state, "closed with an open request");
        assertFalse(
                client.hasUnreadBytes
                        && (client.state == ConnectionState.NEW
                                || client.state == ConnectionState.IDLE),
                "closed without checking for unread bytes");
        disconnect(connection);
        client.closeReason = reason;
    }

    int accept(long address) {
        int connection = policy.accepted(address, now);
        assertNull(clients.put(connection, new Client(now, address)));
        return connection;
    }

    int accept() {
        return accept(1);
    }

    private void enter(int connection, ConnectionState state) {
        clients.get(connection).state = state;
        clients.get(connection).enteredStateAt = now;
    }

    void sendBytes(int connection, int bytes) {
        Client client = clients.get(connection);
        if (client.state == ConnectionState.NEW || client.state == ConnectionState.IDLE) {
            client.byteTimes.clear();
            enter(connection, ConnectionState.READING_HEAD);
        }
        for (int k = 0; k < bytes; k++) {
            client.byteTimes.add(now);
        }
        policy.bytesReceived(connection, bytes, now);
    }

    void sendRequest(int connection, int tenant) {
        sendBytes(connection, 100);
        policy.headRead(connection, now);
        policy.requestRead(connection, tenant, now);
        enter(connection, ConnectionState.AWAITING_RESPONSE);
    }

    /** Sends a response. Returns false if the connection closes with it. */
    boolean respond(int connection, double priorityWeight) {
        boolean keepsOpen = policy.responseReady(connection, now);
        policy.responseSent(connection, priorityWeight, now);
        clients.get(connection).wasAnswered = true;
        enter(connection, ConnectionState.IDLE);
        if (!keepsOpen) {
            disconnect(connection);
        }
        return keepsOpen;
    }

    boolean exchange(int connection) {
        sendRequest(connection, 0);
        return respond(connection, 1);
    }

    void disconnect(int connection) {
        policy.closed(connection, now);
        closed.add(clients.remove(connection));
    }

    private void sweep() {
        policy.evictExcess(now);
        policy.sweep(now);
    }

    /** Advances the time, with a sweep at each sweep interval and at the end. */
    void advance(double seconds) {
        double end = now + seconds;
        while (now + limits.sweepIntervalSeconds() < end) {
            now += limits.sweepIntervalSeconds();
            sweep();
        }
        now = end;
        sweep();
    }

    /**
     * Returns the deadline of a request, computed from all of its bytes by the rule in
     * docs/connections.md.
     */
    double deadline(Client client) {
        double deadline = client.enteredStateAt + limits.readTimeoutSeconds();
        if (!client.wasAnswered) {
            deadline = Math.min(deadline, client.acceptedAt + limits.firstHeadTimeoutSeconds());
        }
        double startedAt = client.enteredStateAt;
        for (int k = 0; k < client.byteTimes.size(); k++) {
            if (client.byteTimes.get(k) > startedAt) {
                deadline =
                        Math.min(
                                client.byteTimes.get(k) + limits.readTimeoutSeconds(),
                                deadline + 1 / limits.minBytesPerSecond());
            }
        }
        return deadline;
    }

    void assertInvariants() {
        for (Map.Entry<Integer, Client> each : clients.entrySet()) {
            Client client = each.getValue();
            assertEquals(client.state, policy.state(each.getKey()));
            double overdueBefore = now - limits.sweepIntervalSeconds() - 1e-9;
            switch (client.state) {
                case NEW ->
                        assertTrue(
                                client.acceptedAt + limits.firstByteTimeoutSeconds()
                                        >= overdueBefore,
                                "open too long without a first byte");
                case IDLE ->
                        assertTrue(
                                client.enteredStateAt + limits.maxIdleSeconds() >= overdueBefore,
                                "open after the longest idle time");
                case READING_HEAD ->
                        assertTrue(
                                deadline(client) >= overdueBefore, "open after the read deadline");
                default -> {}
            }
        }
        assertEquals(clients.size(), policy.capacity() - policy.count(ConnectionState.FREE));
    }

    /** Returns how many connections the policy has closed for one of these reasons. */
    long closedCount(CloseReason... reasons) {
        return closed.stream()
                .filter(
                        client ->
                                client.closeReason != null
                                        && Set.of(reasons).contains(client.closeReason))
                .count();
    }
}
