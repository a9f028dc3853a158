package lemondrift.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertTrue;

import lemondrift.proxy.TestConfig;
import lemondrift.proxy.config.ProxyConfig;
import org.junit.jupiter.api.Test;

/** Tests the warm-up before the process serves. */
class WarmupTest {
    @Test
    void leavesNothingInFlight() throws Exception {
        assertTrue(Warmup.run(ProxyConfig.read(TestConfig.json(TestConfig.UNUSED_PORT))));
    }
}
