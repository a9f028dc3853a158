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
 * Parses lists on XNIO's task thread, in steps, so that a long one holds up no thread on the same
 * core.
 */
final class EndpointListParserTask {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListParserTask.class);

    /** Members parsed in one step. */
    private static final int MEMBERS_PER_STEP = 64;

    /** Pause between two steps, in which other threads may run. */
    private static final long STEP_PAUSE_NANOS = 500_000;

    private final XnioIoThread io;

    EndpointListParserTask(XnioIoThread io) {
        this.io = io;
    }

    /** Starts to parse a body; one of the two hears the outcome on the I/O thread. */
    void start(byte[] body, Consumer<EndpointList> onParsed, Consumer<Throwable> onFailure) {
        EndpointListParser parser = new EndpointListParser(body);
        execute(io.getWorker(), () -> parse(parser, onParsed, onFailure));
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
            execute(io, () -> onParsed.accept(list));
        } catch (IOException | RuntimeException | StackOverflowError e) {
            // Wide, as each kind of wrong JSON has an exception of its own; endless nesting
            // overflows the stack.
            execute(io, () -> onFailure.accept(e));
        }
    }

    /**
     * Guards against an error at the end of the process, when no more tasks are taken and no list
     * is needed.
     */
    private static void execute(Executor executor, Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("an endpoint list came after the end");
        }
    }
}
