package lemondrift.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Clients before a door, without sockets, and a plain model of each: what it did in full, from
 * which it is reckoned anew at each look what the door must do and must not.
 */
final class ConnectionPolicyModel implements ConnectionPolicy.Actions {
    /**
     * A client's connection: when it came, when each byte of the present request came, what it
     * waits for.
     */
    static final class Client {
        final double came;
        final long address;
        double since;
        ConnectionState state = ConnectionState.NEW;
        final List<Double> heard = new ArrayList<>();
        boolean unread;
        boolean answered;
        CloseReason ended;

        Client(double came, long address) {
            this.came = came;
            this.address = address;
            since = came;
        }
    }

    final ConnectionLimits bounds;
    final ConnectionPolicy door;
    final Map<Integer, Client> clients = new LinkedHashMap<>();
    final List<Client> gone = new ArrayList<>();
    double now = 1000;

    ConnectionPolicyModel(ConnectionLimits limits) {
        this.bounds = limits;
        door = new ConnectionPolicy(limits, this, 7);
        door.sweep(now);
    }

    static ConnectionLimits bounds(int places, ConnectionLimits.Sharing sharing) {
        return new ConnectionLimits(
                places, places + places / 10 + 1, 2.2, 2, sharing, false, 2048, 1);
    }

    @Override
    public boolean isSilent(int i) {
        Client client = clients.get(i);
        if (client.unread) {
            client.unread = false;
            says(i, 1);
            return false;
        }
        return true;
    }

    @Override
    public void close(int i, CloseReason why) {
        Client client = clients.get(i);
        assertNotEquals(ConnectionState.OPEN, client.state, "an exchange is open on it");
        assertFalse(
                client.unread
                        && (client.state == ConnectionState.NEW
                                || client.state == ConnectionState.QUIET),
                "what it said was not looked at");
        leaves(i);
        client.ended = why;
    }

    int comes(long address) {
        int i = door.came(address, now);
        assertNull(clients.put(i, new Client(now, address)));
        return i;
    }

    int comes() {
        return comes(1);
    }

    private void is(int i, ConnectionState state) {
        clients.get(i).state = state;
        clients.get(i).since = now;
    }

    void says(int i, int bytes) {
        Client client = clients.get(i);
        if (client.state == ConnectionState.NEW || client.state == ConnectionState.QUIET) {
            client.heard.clear();
            is(i, ConnectionState.HEAD);
        }
        for (int b = 0; b < bytes; b++) {
            client.heard.add(now);
        }
        door.heard(i, bytes, now);
    }

    void opens(int i, int tenant) {
        says(i, 100);
        door.headRead(i, now);
        door.opened(i, tenant, now);
        is(i, ConnectionState.OPEN);
    }

    /** Answers it; false where its connection closes with that. */
    boolean answered(int i, double benefit) {
        boolean keeps = door.keeps(i, now);
        door.answered(i, benefit, now);
        clients.get(i).answered = true;
        is(i, ConnectionState.QUIET);
        if (!keeps) {
            leaves(i);
        }
        return keeps;
    }

    boolean asks(int i) {
        opens(i, 0);
        return answered(i, 1);
    }

    void leaves(int i) {
        door.gone(i, now);
        gone.add(clients.remove(i));
    }

    /** Lets time pass, the door looked after as often as it wants. */
    void passes(double seconds) {
        double end = now + seconds;
        while (now + bounds.sweep() < end) {
            now += bounds.sweep();
            door.sweep(now);
        }
        now = end;
        door.sweep(now);
    }

    /**
     * Until when a request may take, reckoned from all that came of it: plainly, as the page says.
     */
    double due(Client client) {
        double due = client.since + bounds.pause();
        double at = client.since;
        for (int b = 0; b < client.heard.size(); b++) {
            if (client.heard.get(b) > at) {
                due = Math.min(client.heard.get(b) + bounds.pause(), due + 1 / bounds.leastRate());
            }
        }
        return due;
    }

    void looksSound() {
        for (Map.Entry<Integer, Client> each : clients.entrySet()) {
            Client client = each.getValue();
            assertEquals(client.state, door.state(each.getKey()));
            double late = now - bounds.sweep() - 1e-9;
            switch (client.state) {
                case NEW ->
                        assertTrue(
                                client.came + bounds.firstWord() >= late, "no word for too long");
                case QUIET ->
                        assertTrue(client.since + bounds.quiet() >= late, "quiet for too long");
                case HEAD -> assertTrue(due(client) >= late, "no progress for too long");
                default -> {}
            }
        }
        assertEquals(clients.size(), door.indexes() - door.in(ConnectionState.FREE));
    }

    /** Ends of any kind that are among these. */
    long ended(CloseReason... why) {
        return gone.stream()
                .filter(client -> client.ended != null && Set.of(why).contains(client.ended))
                .count();
    }
}
