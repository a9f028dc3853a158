package lemondrift.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The idle limit learned from synthetic reuse. */
class IdleReuseEstimatorTest {
    @Test
    void idleLimitFollowsObservedReuse() {
        IdleReuseEstimator estimator = new IdleReuseEstimator(2.2, 0, 8);
        assertEquals(2.2, estimator.idleLimitSeconds(0, 0), "a place that costs nothing is kept");
        for (int k = 0; k < 400; k++) {
            // Half are used again within 0.1 s, half never are.
            estimator.recordReuse(0.1, k / 100.0);
            estimator.recordClose(2.2, k / 100.0);
        }
        double limitSeconds = estimator.idleLimitSeconds(0.5, 4);
        assertTrue(
                limitSeconds >= 0.1 && limitSeconds <= 0.3,
                "worth its place as long as there is hope: " + limitSeconds);
        assertEquals(0, estimator.idleLimitSeconds(1e4, 4), "never at such a price");
        for (int k = 0; k < 400; k++) {
            estimator.recordReuse(2, 40 + k / 100.0);
        }
        assertEquals(2.2, estimator.idleLimitSeconds(0.3, 44), "what was seen before is forgotten");
    }
}
