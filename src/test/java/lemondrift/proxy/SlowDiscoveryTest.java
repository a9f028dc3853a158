package lemondrift.proxy;

import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.DiscoveryMessages.member;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.okResponse;
import static lemondrift.proxy.ScriptedServer.CLOSE;
import static lemondrift.proxy.ScriptedServer.SILENCE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import lemondrift.proxy.config.ProxyConfig;
import org.junit.jupiter.api.Test;

/** Tests a polled discovery that takes long for each response. */
class SlowDiscoveryTest extends LoopbackFixture {
    /** Response time of discovery, in milliseconds. */
    private static final int RESPONSE_MILLIS = 1200;

    /** Seconds within which the proxy must know a change. */
    private static final int KNOWN_AFTER_SECONDS = 6;

    private static String delayed(String response) {
        try {
            Thread.sleep(RESPONSE_MILLIS);
            return response;
        } catch (InterruptedException e) {
            return CLOSE;
        }
    }

    /**
     * Guards against a proxy that gives up each slow call for the list and therefore never learns
     * of draining backends.
     */
    @Test
    void followsTheListOfASlowDiscoveryAfterAReload() throws Exception {
        membershipMode = "on_request";
        ScriptedServer former = backend(OK);
        ScriptedServer next = backend(OK);
        start(former);
        String fullList = endpointList(7, true, member(0, next.port(), "active"));
        ScriptedServer slow =
                scriptedServer(
                        request -> request.contains("?") ? SILENCE : delayed(okResponse(fullList)));
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(KNOWN_AFTER_SECONDS);
        proxy.reload(ProxyConfig.read(config(slow.port())));
        while (next.requests.isEmpty()) {
            assertTrue(System.nanoTime() < deadline, "the proxy does not use the new list");
            assertEquals(200, sendIdempotent().statusCode());
        }
    }
}
