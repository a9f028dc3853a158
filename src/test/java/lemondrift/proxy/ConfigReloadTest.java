package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.settings.InvalidSettingsException;
import org.junit.jupiter.api.Test;

/** Settings at SIGHUP, on loopback. */
class ConfigReloadTest extends LoopbackFixture {
    private JsonObject running() {
        return JsonParser.parseString(config(discovery.port(), false)).getAsJsonObject();
    }

    private static void name(JsonObject config, int requestClass, String name, String effect) {
        JsonObject it =
                config.getAsJsonObject("settings")
                        .getAsJsonArray("serviceGrades")
                        .get(requestClass)
                        .getAsJsonObject();
        it.addProperty("name", name);
        it.addProperty("effect", effect);
    }

    /** A file is followed for what is read after it; a request of this class shows that it is. */
    private void follow(JsonObject config, String shows) throws Exception {
        proxy.reload(ProxyConfig.read(config.toString()));
        for (int i = 0; ask(shows, "shows-" + i) != 200; i++) {
            Thread.onSpinWait();
        }
    }

    private int ask(String grade, String trace) throws Exception {
        return send(request(grade).setHeader("X-Trace-Id", trace)).statusCode();
    }

    @Test
    void classesComeAndGoAndTheOthersStay() throws Exception {
        start(backend(OK));
        JsonObject next = running();
        name(next, 0, "book", "fragile");
        follow(next, "book");
        assertEquals(400, ask("look", "t1"), "no class any more");
        assertEquals(200, ask("order", "t2"));
        follow(running(), "look");
        assertEquals(400, ask("book", "t3"));
    }

    /**
     * A class that was harmless to repeat and is not any more, with one of it open over the retune.
     */
    @Test
    void whatIsOpenKeepsTheRulesItCameUnder() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Semaphore asked = new Semaphore(0);
        Function<String, String> script =
                request -> {
                    boolean first = request.contains("X-Qos: look") && go.getCount() > 0;
                    asked.release(first ? 1 : 0);
                    return first && await(go) ? CLOSE : OK;
                };
        start(backend(script), backend(script));
        var open = http.sendAsync(request("look").build(), HttpResponse.BodyHandlers.ofString());
        assertTrue(asked.tryAcquire(5, TimeUnit.SECONDS));
        JsonObject next = running();
        name(next, 0, "look", "fragile");
        next.getAsJsonObject("settings").getAsJsonObject("limits").addProperty("mostForwards", 1);
        proxy.reload(ProxyConfig.read(next.toString()));
        // What came before it on the owner's queue is done when this is answered.
        while (ask("order", "after") != 200) {
            Thread.onSpinWait();
        }
        go.countDown();
        assertEquals(
                200,
                open.get(20, TimeUnit.SECONDS).statusCode(),
                "sent again: harmless, two attempts");
    }

    private static boolean await(CountDownLatch go) {
        try {
            return go.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            return false;
        }
    }

    @Test
    void aNewClassIsUnderItsOwnRules() throws Exception {
        StandIn one = backend(CLOSE);
        StandIn other = backend(CLOSE);
        start(one, other);
        JsonObject next = running();
        name(next, 0, "look", "fragile");
        proxy.reload(ProxyConfig.read(next.toString()));
        HttpRequest.Builder fragile = request("look");
        int before = 0;
        int now = 2;
        for (int i = 0; now > 1 && i < 50; i++) {
            before = one.requests.size() + other.requests.size();
            send(fragile.setHeader("X-Trace-Id", "f-" + i));
            now = one.requests.size() + other.requests.size() - before;
        }
        assertEquals(1, now, "what may have run is not sent again");
    }

    /** Each key that the running file has, taken out by itself. */
    @Test
    void aFileThatIsShortOfAKeyChangesNothing() throws Exception {
        start(backend(OK));
        List<String> keys = new ArrayList<>();
        int lacks = cut(running(), running(), "", keys);
        assertTrue(lacks > 25, keys.toString());
        assertEquals(200, ask("look", "still"));
    }

    private int cut(JsonObject whole, JsonObject at, String path, List<String> keys) {
        int cut = 0;
        for (String key : List.copyOf(at.keySet())) {
            JsonElement value = at.remove(key);
            String text = path.isEmpty() ? at.toString() : replaced(path, at);
            keys.add(path + key);
            assertThrows(
                    InvalidSettingsException.class,
                    () -> proxy.reload(ProxyConfig.read(text)),
                    path + key);
            at.add(key, value);
            cut++;
            if (value.isJsonObject()) {
                cut += cut(whole, value.getAsJsonObject(), path + key + ".", keys);
            } else if (value.isJsonArray() && value.getAsJsonArray().get(0).isJsonObject()) {
                cut +=
                        cut(
                                whole,
                                value.getAsJsonArray().get(1).getAsJsonObject(),
                                path + key + ".1.",
                                keys);
            }
        }
        return cut;
    }

    private String replaced(String path, JsonObject with) {
        JsonObject all = running();
        JsonElement at = all;
        String[] steps = path.split("\\.");
        for (int i = 0; i < steps.length - 1; i++) {
            at =
                    at.isJsonArray()
                            ? at.getAsJsonArray().get(Integer.parseInt(steps[i]))
                            : at.getAsJsonObject().get(steps[i]);
        }
        String last = steps[steps.length - 1];
        if (at.isJsonArray()) {
            at.getAsJsonArray().set(Integer.parseInt(last), with);
        } else {
            at.getAsJsonObject().add(last, with);
        }
        return all.toString();
    }

    @Test
    void aBrokenFileNamesItsKey() throws Exception {
        start(backend(OK));
        String good = running().toString();
        String[][] bad = {
            {"\"expiry\":4000", "\"expiry\":0", "expiry"},
            {"\"contractTime\":1500", "\"contractTime\":-5", "contractTime"},
            {"\"contractTime\":1500", "\"contractTime\":\"NaN\"", "contractTime"},
            {"\"mostForwards\":4", "\"mostForwards\":0", "mostForwards"},
            {
                "\"name\":\"order\"",
                "\"name\":\"look\"",
                "serviceGrades.1.name: look is there twice"
            },
            {"\"name\":\"order\"", "\"name\":\"\"", "serviceGrades.1.name"},
            {"\"effect\":\"fragile\"", "\"effect\":\"odd\"", "effect"}
        };
        for (String[] each : bad) {
            assertTrue(good.contains(each[0]), each[0]);
            String text = good.replace(each[0], each[1]);
            String said =
                    assertThrows(
                                    InvalidSettingsException.class,
                                    () -> proxy.reload(ProxyConfig.read(text)))
                            .getMessage();
            assertTrue(said.contains(each[2]), said);
        }
        for (int cut = 0; cut < good.length(); cut += 7) {
            String text = good.substring(0, cut);
            assertThrows(
                    InvalidSettingsException.class, () -> proxy.reload(ProxyConfig.read(text)));
        }
        assertEquals(200, ask("look", "still"));
    }

    @Test
    void whatHoldsFromTheNextStartIsNamed() throws Exception {
        start(backend(OK));
        JsonObject next = running();
        next.addProperty("listen", "127.0.0.1:9");
        next.getAsJsonObject("settings").getAsJsonObject("charges").addProperty("probe", 0.5);
        assertEquals(
                List.of("listen"),
                ProxyConfig.read(next.toString())
                        .keysAppliedAtStart(ProxyConfig.read(running().toString())));
    }

    @Test
    void aHundredRetunesLeaveNothingBehind() throws Exception {
        start(backend(OK));
        for (int i = 0; i < 100; i++) {
            JsonObject next = running();
            name(next, 0, "class-" + i, i % 2 == 0 ? "fragile" : "retryable");
            follow(next, "class-" + i);
        }
        assertTrue(proxy.classesKnown() <= 4, "indexes of " + proxy.classesKnown());
    }
}
