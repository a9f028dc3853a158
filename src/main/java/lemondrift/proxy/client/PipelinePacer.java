package lemondrift.proxy.client;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/**
 * Bounds how many pipelined requests are begun before the I/O thread looks at other connections and
 * at its timers again. Undertow begins a request that is buffered already in a task of the I/O
 * thread, which reads no socket and runs no timer while there are tasks: clients that pipeline
 * requests which the proxy answers by itself would keep it from all others. I/O thread only.
 */
final class PipelinePacer {
    /** How many pipelined requests are begun in each interval, on all connections together. */
    static final int REQUESTS_PER_INTERVAL = 8;

    /** The length of an interval, in milliseconds. */
    private static final long INTERVAL_MILLIS = 2;

    private final XnioIoThread ioThread;

    /** Starts of requests that wait for the next interval, in the order of their connections. */
    private final Queue<Runnable> waiting = new ArrayDeque<>();

    private boolean intervalStarted;
    private int begun;

    PipelinePacer(XnioIoThread ioThread) {
        this.ioThread = ioThread;
    }

    /**
     * Begins a request now or, if there have been enough in this interval, in a later one.
     *
     * @param begin begins the request; must do nothing if its connection has been closed
     */
    void begin(Runnable begin) {
        waiting.add(begin);
        if (!intervalStarted) {
            startInterval();
        }
        beginWaiting();
    }

    private void startInterval() {
        intervalStarted = true;
        begun = 0;
        ioThread.executeAfter(this::intervalEnded, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void intervalEnded() {
        intervalStarted = false;
        if (!waiting.isEmpty()) {
            startInterval();
            beginWaiting();
        }
    }

    private void beginWaiting() {
        while (begun < REQUESTS_PER_INTERVAL && !waiting.isEmpty()) {
            begun++;
            waiting.remove().run();
        }
    }
}
