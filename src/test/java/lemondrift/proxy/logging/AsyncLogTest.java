package lemondrift.proxy.logging;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The log beside a reader that takes nothing for a while. */
class AsyncLogTest {
    private static final int MANY = 3000;

    /** Danger: whoever logs owes answers, and would wait for a reader that has stopped. */
    @Test
    void whoLogsWaitsForNoReaderAndWhatIsLeftOutIsCounted() throws Exception {
        CountDownLatch reads = new CountDownLatch(1);
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        AsyncLog log =
                new AsyncLog(
                        new OutputStream() {
                            @Override
                            public void write(int b) {
                                try {
                                    reads.await();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                                read.write(b);
                            }
                        });
        PrintStream out = new PrintStream(log, true);
        // Returns, or the test never ends.
        IntStream.range(0, MANY).forEach(i -> out.println("line " + i));
        reads.countDown();
        log.drain(10);
        out.println("last");
        log.drain(10);
        String[] lines = read.toString(UTF_8).split("\n");
        assertEquals("line 0", lines[0]);
        assertEquals("last", lines[lines.length - 1]);
        int whole =
                (int)
                        java.util.Arrays.stream(lines)
                                .filter(each -> each.startsWith("line "))
                                .count();
        int leftOut =
                java.util.Arrays.stream(lines)
                        .filter(each -> each.startsWith("log lines left out: "))
                        .mapToInt(each -> Integer.parseInt(each.replaceAll("\\D", "")))
                        .sum();
        assertEquals(MANY, whole + leftOut);
        assertTrue(leftOut > 0);
    }
}
