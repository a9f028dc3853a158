package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.util.OptionalInt;
import java.util.function.IntUnaryOperator;

/**
 * The targets of client requests: the proxies, or the backends in a testbed without proxies. A
 * target is identified by its number. I/O thread only.
 */
interface ClientTargets {
    /** Returns whether the targets are backends. */
    boolean areBackends();

    InetSocketAddress address(int target);

    /**
     * Picks the target of the next request; empty if no target accepts requests.
     *
     * @param inFlight returns how many client requests are in flight to a target
     */
    OptionalInt pick(IntUnaryOperator inFlight);

    /** Returns whether new requests are sent to a target. */
    boolean isOpen(int target);

    /** Reports that a client could not connect to a target or received no response from it. */
    void reportUnreachable(int target);
}
