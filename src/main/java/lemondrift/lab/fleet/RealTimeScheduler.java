package lemondrift.lab.fleet;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondrift.lab.simulation.Scheduler;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Real seconds since it was made; all that is due happens on one I/O thread. */
final class RealTimeScheduler implements Scheduler {
    private final long origin = System.nanoTime();
    private final XnioIoThread io;
    private final Consumer<RuntimeException> failed;

    /** What goes wrong in something that was due is told to whoever waits for the day. */
    RealTimeScheduler(XnioIoThread io, Consumer<RuntimeException> failed) {
        this.io = io;
        this.failed = failed;
    }

    @Override
    public double now() {
        return (System.nanoTime() - origin) / 1e9;
    }

    @Override
    public Entry at(double time, Runnable what) {
        long nanos = Math.max(0, (long) ((time - now()) * 1e9));
        XnioExecutor.Key key = io.executeAfter(() -> guarded(what), nanos, TimeUnit.NANOSECONDS);
        return key::remove;
    }

    /** Has something done on the I/O thread as soon as may be. Any thread. */
    void soon(Runnable what) {
        io.execute(() -> guarded(what));
    }

    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            failed.accept(e);
        }
    }
}
