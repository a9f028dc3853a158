package lemondrift.proxy.lifecycle;

import java.lang.reflect.Field;
import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles SIGHUP, which ends a JVM that has no handler for it. A process that is to survive one
 * before its JVM can have a handler is started with the signal ignored, as {@code run} of the
 * deploy file does; the JVM then takes no handler until what {@code hangup.c} is made to is loaded.
 */
final class HangUpSignal {
    /** The library that is made of {@code hangup.c}. */
    private static final String LIBRARY = "lemondrift-hangup";

    private HangUpSignal() {}

    /**
     * Runs the handler at each SIGHUP from now on, each time on a thread of its own. By reflection,
     * as the compiler does not let sun.misc be named.
     */
    static void setHandler(Runnable handler) {
        try {
            if (install(handler)) {
                System.loadLibrary(LIBRARY);
                install(handler);
            }
        } catch (ReflectiveOperationException | RuntimeException e) {
            // Wide, as a JVM without these classes or permissions can still serve.
            log().warn(
                            "SIGHUP handler not installed, SIGHUP will end the process: {}",
                            e.toString());
        } catch (UnsatisfiedLinkError e) {
            log().warn(
                            "SIGHUP is ignored as it was at the start of the process, no"
                                    + " configuration will be read again: {}",
                            e.getMessage());
        }
    }

    /** Returns whether the signal is ignored, so that the JVM has not taken the handler. */
    private static boolean install(Runnable handler) throws ReflectiveOperationException {
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
        Object previous =
                signalType
                        .getMethod("handle", signalType, handlerType)
                        .invoke(null, hangUp, signalHandler);
        Field ignored = handlerType.getField("SIG_IGN");
        return previous == ignored.get(null);
    }

    /** Not a constant: to make it takes time in which a signal would still end the process. */
    private static Logger log() {
        return LoggerFactory.getLogger(HangUpSignal.class);
    }
}
