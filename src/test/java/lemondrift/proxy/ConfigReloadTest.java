package lemondrift.proxy;

import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.ScriptedServer.CLOSE;
import static lemondrift.proxy.TestConfig.IDEMPOTENT_CLASS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.settings.InvalidSettingsException;
import org.junit.jupiter.api.Test;

/** Tests configuration reload, as at SIGHUP: request classes, open requests and invalid files. */
class ConfigReloadTest extends LoopbackFixture {
    /** Maximum seconds for which a backend waits for its release. */
    private static final int RELEASE_TIMEOUT_SECONDS = 20;

    private JsonObject runningConfig() {
        return JsonParser.parseString(config(discovery.port())).getAsJsonObject();
    }

    private static void replaceClass(
            JsonObject config, int requestClass, String name, String effect) {
        JsonObject serviceGrade =
                config.getAsJsonObject("settings")
                        .getAsJsonArray("serviceGrades")
                        .get(requestClass)
                        .getAsJsonObject();
        serviceGrade.addProperty("name", name);
        serviceGrade.addProperty("effect", effect);
    }

    /** Reloads and waits until the proxy answers a request of a class of the new configuration. */
    private void reload(JsonObject config, String newClass) throws Exception {
        proxy.reload(ProxyConfig.read(config.toString()));
        for (int i = 0; statusOf(newClass, "reloaded-" + i) != 200; i++) {
            Thread.onSpinWait();
        }
    }

    private int statusOf(String requestClass, String traceId) throws Exception {
        return send(request(requestClass).setHeader("X-Trace-Id", traceId)).statusCode();
    }

    @Test
    void addsAndRemovesClassesAndKeepsTheOthers() throws Exception {
        start(backend(OK));
        JsonObject next = runningConfig();
        replaceClass(next, 0, "book", "fragile");
        reload(next, "book");
        assertEquals(400, statusOf("look", "t1"), "requests of a removed class must be refused");
        assertEquals(200, statusOf("order", "t2"));
        reload(runningConfig(), "look");
        assertEquals(400, statusOf("book", "t3"));
    }

    /** Guards against retrying an open request by the settings of a later configuration. */
    @Test
    void openRequestKeepsRulesThatHeldWhenItArrived() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        Semaphore attempted = new Semaphore(0);
        Function<String, String> script =
                request -> {
                    boolean isFirstAttempt =
                            request.contains("X-Qos: look") && release.getCount() > 0;
                    attempted.release(isFirstAttempt ? 1 : 0);
                    return isFirstAttempt && awaitRelease(release, RELEASE_TIMEOUT_SECONDS)
                            ? CLOSE
                            : OK;
                };
        start(backend(script), backend(script));
        var openRequest = sendAsync(request(IDEMPOTENT_CLASS));
        assertTrue(attempted.tryAcquire(5, TimeUnit.SECONDS));
        JsonObject next = runningConfig();
        replaceClass(next, 0, "look", "fragile");
        next.getAsJsonObject("settings").getAsJsonObject("limits").addProperty("mostForwards", 1);
        proxy.reload(ProxyConfig.read(next.toString()));
        // Once this request is answered, all events queued before it are handled.
        while (statusOf("order", "after") != 200) {
            Thread.onSpinWait();
        }
        release.countDown();
        assertEquals(
                200,
                openRequest.get(20, TimeUnit.SECONDS).statusCode(),
                "must be retried by the settings at its arrival: idempotent, two attempts");
    }

    @Test
    void doesNotRetryRequestsOfClassThatBecameNonIdempotent() throws Exception {
        ScriptedServer first = backend(CLOSE);
        ScriptedServer second = backend(CLOSE);
        start(first, second);
        JsonObject next = runningConfig();
        replaceClass(next, 0, "look", "fragile");
        proxy.reload(ProxyConfig.read(next.toString()));
        HttpRequest.Builder notIdempotent = request(IDEMPOTENT_CLASS);
        int attemptsBefore = 0;
        int attempts = 2;
        for (int i = 0; attempts > 1 && i < 50; i++) {
            attemptsBefore = first.requests.size() + second.requests.size();
            send(notIdempotent.setHeader("X-Trace-Id", "f-" + i));
            attempts = first.requests.size() + second.requests.size() - attemptsBefore;
        }
        assertEquals(1, attempts, "an attempt that may have been executed must not be retried");
    }

    /** Guards against a partly applied configuration. Leaves out one key at a time. */
    @Test
    void rejectsConfigurationThatLacksAnyKey() throws Exception {
        start(backend(OK));
        List<String> keys = new ArrayList<>();
        int removed = removeEachKey(runningConfig(), "", keys);
        assertTrue(removed > 25, keys.toString());
        assertEquals(200, statusOf("look", "still"));
    }

    private int removeEachKey(JsonObject object, String path, List<String> keys) {
        int removed = 0;
        for (String key : List.copyOf(object.keySet())) {
            JsonElement value = object.remove(key);
            String text = path.isEmpty() ? object.toString() : withReplaced(path, object);
            keys.add(path + key);
            assertThrows(
                    InvalidSettingsException.class,
                    () -> proxy.reload(ProxyConfig.read(text)),
                    path + key);
            object.add(key, value);
            removed++;
            if (value.isJsonObject()) {
                removed += removeEachKey(value.getAsJsonObject(), path + key + ".", keys);
            } else if (value.isJsonArray() && value.getAsJsonArray().get(0).isJsonObject()) {
                removed +=
                        removeEachKey(
                                value.getAsJsonArray().get(1).getAsJsonObject(),
                                path + key + ".1.",
                                keys);
            }
        }
        return removed;
    }

    private String withReplaced(String path, JsonObject replacement) {
        JsonObject config = runningConfig();
        JsonElement parent = config;
        String[] steps = path.split("\\.");
        for (int i = 0; i < steps.length - 1; i++) {
            parent =
                    parent.isJsonArray()
                            ? parent.getAsJsonArray().get(Integer.parseInt(steps[i]))
                            : parent.getAsJsonObject().get(steps[i]);
        }
        String last = steps[steps.length - 1];
        if (parent.isJsonArray()) {
            parent.getAsJsonArray().set(Integer.parseInt(last), replacement);
        } else {
            parent.getAsJsonObject().add(last, replacement);
        }
        return config.toString();
    }

    /** A change that makes a configuration invalid, and a text that the message must contain. */
    private record UnusableChange(String usableText, String unusableText, String expectedMessage) {}

    @Test
    void namesKeyOfUnusableConfiguration() throws Exception {
        start(backend(OK));
        String usable = runningConfig().toString();
        List<UnusableChange> changes =
                List.of(
                        new UnusableChange("\"expiry\":4000", "\"expiry\":0", "expiry"),
                        new UnusableChange(
                                "\"contractTime\":1500", "\"contractTime\":-5", "contractTime"),
                        new UnusableChange(
                                "\"contractTime\":1500",
                                "\"contractTime\":\"NaN\"",
                                "contractTime"),
                        new UnusableChange(
                                "\"mostForwards\":4", "\"mostForwards\":0", "mostForwards"),
                        new UnusableChange(
                                "\"name\":\"order\"",
                                "\"name\":\"look\"",
                                "serviceGrades.1.name: look is there twice"),
                        new UnusableChange(
                                "\"name\":\"order\"", "\"name\":\"\"", "serviceGrades.1.name"),
                        new UnusableChange(
                                "\"effect\":\"fragile\"", "\"effect\":\"odd\"", "effect"));
        for (UnusableChange change : changes) {
            assertTrue(usable.contains(change.usableText()), change.usableText());
            String text = usable.replace(change.usableText(), change.unusableText());
            String message =
                    assertThrows(
                                    InvalidSettingsException.class,
                                    () -> proxy.reload(ProxyConfig.read(text)))
                            .getMessage();
            assertTrue(message.contains(change.expectedMessage()), message);
        }
        for (int cut = 0; cut < usable.length(); cut += 7) {
            String text = usable.substring(0, cut);
            assertThrows(
                    InvalidSettingsException.class, () -> proxy.reload(ProxyConfig.read(text)));
        }
        assertEquals(200, statusOf("look", "still"));
    }

    @Test
    void reportsKeysThatRequireARestart() throws Exception {
        start(backend(OK));
        JsonObject next = runningConfig();
        next.addProperty("listen", "127.0.0.1:9");
        next.getAsJsonObject("settings").getAsJsonObject("charges").addProperty("probe", 0.5);
        assertEquals(
                List.of("listen"),
                ProxyConfig.read(next.toString())
                        .keysRequiringRestart(ProxyConfig.read(runningConfig().toString())));
    }

    @Test
    void reusesClassIndexesOverManyReloads() throws Exception {
        start(backend(OK));
        for (int i = 0; i < 100; i++) {
            JsonObject next = runningConfig();
            replaceClass(next, 0, "class-" + i, i % 2 == 0 ? "fragile" : "retryable");
            reload(next, "class-" + i);
        }
        assertTrue(
                proxy.classIndexCount() <= 4,
                "request classes with an index: " + proxy.classIndexCount());
    }
}
