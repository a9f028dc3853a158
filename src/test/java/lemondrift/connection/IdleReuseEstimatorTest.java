package lemondrift.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the idle limit that is learned from synthetic reuse. */
class IdleReuseEstimatorTest {
    @Test
    void idleLimitFollowsObservedReuse() {
        IdleReuseEstimator estimator = new IdleReuseEstimator(2.2, 0, 8);
        assertEquals(
                2.2,
                estimator.idleLimitSeconds(0, 0),
                "a connection is kept if its slot costs nothing");
        for (int k = 0; k < 400; k++) {
            // Half of the connections are reused after 0.1 s, half are never reused.
            estimator.recordReuse(0.1, k / 100.0);
            estimator.recordClose(2.2, k / 100.0);
        }
        double limitSeconds = estimator.idleLimitSeconds(0.5, 4);
        assertTrue(
                limitSeconds >= 0.1 && limitSeconds <= 0.3,
                "kept until reuse becomes unlikely: " + limitSeconds);
        assertEquals(0, estimator.idleLimitSeconds(1e4, 4), "closed at once at a high price");
        for (int k = 0; k < 400; k++) {
            estimator.recordReuse(2, 40 + k / 100.0);
        }
        assertEquals(2.2, estimator.idleLimitSeconds(0.3, 44), "earlier observations have decayed");
    }
}
