package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.lifecycle.Warmup;
import org.junit.jupiter.api.Test;

/** The warm-up of the process before it serves. */
class WarmupTest {
    @Test
    void leavesNothingInFlight() throws Exception {
        assertTrue(Warmup.play(ProxyConfig.read(TestConfig.json(TestConfig.UNUSED_PORT))));
    }
}
