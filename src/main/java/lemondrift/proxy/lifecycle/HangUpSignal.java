package lemondrift.proxy.lifecycle;

import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles SIGHUP, which ends a JVM that has no handler for it. */
final class HangUpSignal {
    private static final Logger LOG = LoggerFactory.getLogger(HangUpSignal.class);

    private HangUpSignal() {}

    /**
     * Runs the handler at each SIGHUP, each time on a thread of its own. By reflection, as the
     * compiler does not let sun.misc be named.
     */
    static void handleWith(Runnable handler) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object signalHandler =
                    Proxy.newProxyInstance(
                            HangUpSignal.class.getClassLoader(),
                            new Class<?>[] {handlerType},
                            (self, method, arguments) -> {
                                handler.run();
                                return null;
                            });
            Object hangUp = signalType.getConstructor(String.class).newInstance("HUP");
            signalType
                    .getMethod("handle", signalType, handlerType)
                    .invoke(null, hangUp, signalHandler);
        } catch (ReflectiveOperationException | RuntimeException e) {
            // Wide, as a JVM without these classes or permissions can still serve.
            LOG.warn("SIGHUP handler not installed, SIGHUP will end the process: {}", e.toString());
        }
    }
}
