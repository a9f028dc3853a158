package lemondrift.proxy.logging;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the log with a reader that stops for a while. */
class AsyncLogTest {
    private static final int LINE_COUNT = 3000;

    /** Guards against blocking the threads that serve requests when the reader of the log stops. */
    @Test
    void doesNotWaitForStoppedReaderAndCountsDroppedLines() throws Exception {
        CountDownLatch mayRead = new CountDownLatch(1);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        AsyncLog log =
                new AsyncLog(
                        new OutputStream() {
                            @Override
                            public void write(int b) {
                                try {
                                    mayRead.await();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                                written.write(b);
                            }
                        });
        PrintStream out = new PrintStream(log, true);
        // If this blocked, the test would not end.
        IntStream.range(0, LINE_COUNT).forEach(i -> out.println("line " + i));
        mayRead.countDown();
        log.drain(10);
        out.println("last");
        log.drain(10);
        String[] lines = written.toString(UTF_8).split("\n");
        assertEquals("line 0", lines[0]);
        assertEquals("last", lines[lines.length - 1]);
        int loggedLines =
                (int) Arrays.stream(lines).filter(line -> line.startsWith("line ")).count();
        int droppedLines =
                Arrays.stream(lines)
                        .filter(line -> line.startsWith("log lines left out: "))
                        .mapToInt(line -> Integer.parseInt(line.replaceAll("\\D", "")))
                        .sum();
        assertEquals(LINE_COUNT, loggedLines + droppedLines);
        assertTrue(droppedLines > 0);
    }
}
