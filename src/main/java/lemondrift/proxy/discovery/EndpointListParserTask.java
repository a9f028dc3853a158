package lemondrift.proxy.discovery;

import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import lemondrift.proxy.events.EndpointList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * Parses endpoint lists on XNIO's task thread, in steps, so that a long list does not delay other
 * threads on the same core.
 */
final class EndpointListParserTask {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListParserTask.class);

    /** Number of members parsed in one step. */
    private static final int MEMBERS_PER_STEP = 64;

    /** Pause between two steps, during which other threads can run. */
    private static final long STEP_PAUSE_NANOS = 500_000;

    private final XnioIoThread ioThread;

    EndpointListParserTask(XnioIoThread ioThread) {
        this.ioThread = ioThread;
    }

    /**
     * Starts to parse a body; calls one of the two callbacks with the result, on the I/O thread.
     */
    void start(byte[] body, Consumer<EndpointList> onParsed, Consumer<Throwable> onFailure) {
        EndpointListParser parser = new EndpointListParser(body);
        execute(ioThread.getWorker(), () -> parse(parser, onParsed, onFailure));
    }

    private void parse(
            EndpointListParser parser,
            Consumer<EndpointList> onParsed,
            Consumer<Throwable> onFailure) {
        try {
            while (!parser.advance(MEMBERS_PER_STEP)) {
                LockSupport.parkNanos(STEP_PAUSE_NANOS);
            }
            EndpointList list = parser.list();
            execute(ioThread, () -> onParsed.accept(list));
        } catch (IOException | RuntimeException | StackOverflowError e) {
            // Catches every exception: each kind of malformed JSON throws a different one, and deep
            // nesting overflows the stack.
            execute(ioThread, () -> onFailure.accept(e));
        }
    }

    /**
     * Executes a task. Guards against an error at shutdown, when the executor rejects tasks and the
     * list is no longer needed.
     */
    private static void execute(Executor executor, Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("endpoint list dropped: the executor has shut down");
        }
    }
}
