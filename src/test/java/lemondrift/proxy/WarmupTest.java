package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.lifecycle.Warmup;
import org.junit.jupiter.api.Test;

/** The warm-up before a start. */
class WarmupTest {
    @Test
    void nothingIsInFlightWhenItEnds() throws Exception {
        assertTrue(Warmup.play(ProxyConfig.read(new LoopbackFixture() {}.config(1, false))));
    }
}
