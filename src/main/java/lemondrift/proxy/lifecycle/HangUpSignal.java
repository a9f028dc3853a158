package lemondrift.proxy.lifecycle;

import java.lang.reflect.Field;
import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Installs a handler for SIGHUP. The signal ends a JVM that has no handler. To survive a SIGHUP
 * that arrives before the handler is installed, a process is started with the signal ignored, as
 * the {@code run} entry of the deploy file does. Such a JVM accepts a handler only after the
 * library built from {@code hangup.c} is loaded.
 */
final class HangUpSignal {
    /** Name of the library built from {@code hangup.c}. */
    private static final String LIBRARY = "lemondrift-hangup";

    private HangUpSignal() {}

    /**
     * Runs the handler at each SIGHUP from now on, each time on a new thread. Uses reflection
     * because the compiler rejects references to {@code sun.misc}. If the handler cannot be
     * installed, logs a warning and returns.
     */
    static void setHandler(Runnable handler) {
        try {
            if (install(handler)) {
                System.loadLibrary(LIBRARY);
                install(handler);
            }
        } catch (ReflectiveOperationException | RuntimeException e) {
            // Catches every exception: a JVM without these classes or permissions can still serve.
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

    /** Returns true if the signal is ignored, in which case the JVM did not accept the handler. */
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

    /**
     * Returns the logger. Not a constant: creating it takes time during which a signal would still
     * end the process.
     */
    private static Logger log() {
        return LoggerFactory.getLogger(HangUpSignal.class);
    }
}
