package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.util.OptionalInt;
import java.util.function.IntUnaryOperator;

/**
 * What the clients of a testbed send their requests to: the proxies, or the backends where there
 * are no proxies. A target is known by its number. I/O thread only.
 */
interface ClientTargets {
    /** Whether the targets are backends. */
    boolean areBackends();

    InetSocketAddress address(int target);

    /**
     * Picks the target of the next request; empty where none takes any.
     *
     * @param inFlight how many requests of clients are in flight at a target
     */
    OptionalInt pick(IntUnaryOperator inFlight);

    /** Whether new requests are sent to a target. */
    boolean isOpen(int target);

    /** A client could not connect to a target or got no response from it. */
    void reportUnreachable(int target);
}
