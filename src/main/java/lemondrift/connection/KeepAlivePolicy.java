package lemondrift.connection;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Decides whether a connection stays open after its response, and how long it may be idle. A
 * connection slot costs almost nothing while few open connections are unused; its price rises
 * steeply with their number. A connection is kept as long as the reuse that {@link
 * IdleReuseEstimator} expects is worth the price of its slot.
 */
final class KeepAlivePolicy {
    /** Connections with one response, with two or three, and with more have separate estimators. */
    private static final int REUSE_GROUPS = 3;

    /**
     * The share of connections that are kept open regardless of the expected reuse. Guards against
     * never observing a reuse to learn from.
     */
    private static final double EXPLORATION_SHARE = 1.0 / 16;

    /** The price of a slot rises with this power of the number of unused connections. */
    private static final int PRICE_EXPONENT = 4;

    /** The ratio of unused connections from which none is kept open only to learn from it. */
    private static final double MAX_UNUSED_RATIO_TO_EXPLORE = 2;

    private final ConnectionLimits limits;
    private final ConnectionTable connections;
    private final SplittableRandom random;
    private final IdleReuseEstimator[] estimators = new IdleReuseEstimator[REUSE_GROUPS];
    private final double[] idleLimitSeconds = new double[REUSE_GROUPS];

    KeepAlivePolicy(ConnectionLimits limits, ConnectionTable connections, long seed) {
        this.limits = limits;
        this.connections = connections;
        random = new SplittableRandom(seed);
        Arrays.setAll(
                estimators,
                group ->
                        new IdleReuseEstimator(
                                limits.maxIdleSeconds(),
                                limits.minIdleSeconds(),
                                limits.halfLifeSeconds()));
        Arrays.fill(idleLimitSeconds, limits.maxIdleSeconds());
    }

    private static int reuseGroup(int responses) {
        if (responses < 2) {
            return 0;
        }
        return responses < 4 ? 1 : 2;
    }

    private int reuseGroupOf(int connection) {
        return reuseGroup(connections.responseCounts[connection]);
    }

    /** Returns whether a connection stays open after the response that is ready now. */
    boolean keepsOpen(int connection, double now) {
        boolean worthKeeping =
                estimators[reuseGroupOf(connection)].idleLimitSeconds(pricePerSecond(), now) > 0;
        boolean explores =
                unusedRatio() < MAX_UNUSED_RATIO_TO_EXPLORE
                        && random.nextDouble() < EXPLORATION_SHARE;
        return worthKeeping || explores;
    }

    /** Returns whether the response may announce for how long the connection stays open. */
    boolean mayAnnounce() {
        return limits.announcesKeepAlive() && pricePerSecond() < 1 / limits.maxIdleSeconds();
    }

    /** Records that an idle connection was used again. */
    void reused(int connection, double now) {
        estimators[reuseGroupOf(connection)].recordReuse(
                connections.secondsInState(connection, now), now);
    }

    /** Records that an idle connection was closed without having been used again. */
    void closedIdle(int connection, double now) {
        estimators[reuseGroupOf(connection)].recordClose(
                connections.secondsInState(connection, now), now);
    }

    /** Recomputes how long idle connections may stay open at the current price. */
    void updateIdleLimits(double now) {
        for (int group = 0; group < REUSE_GROUPS; group++) {
            idleLimitSeconds[group] =
                    Math.max(
                            limits.minIdleSeconds(),
                            estimators[group].idleLimitSeconds(pricePerSecond(), now));
        }
    }

    double idleLimitSeconds(int connection) {
        return idleLimitSeconds[reuseGroupOf(connection)];
    }

    /**
     * Returns the number of open connections that neither wait for a backend or a response nor send
     * one, as a ratio to the number at which a slot has its full price.
     */
    private double unusedRatio() {
        int busy =
                connections.count(ConnectionState.AWAITING_BACKEND)
                        + connections.count(ConnectionState.AWAITING_RESPONSE)
                        + connections.count(ConnectionState.SENDING_RESPONSE);
        return (connections.openCount() - busy)
                / (ConnectionLimits.UNUSED_SHARE_AT_FULL_PRICE * connections.maxConnections());
    }

    /** Returns the price of a slot per second, in units of one avoided reconnect. */
    private double pricePerSecond() {
        return Math.pow(unusedRatio(), PRICE_EXPONENT) / limits.maxIdleSeconds();
    }
}
