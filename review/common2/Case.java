package standin2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** The frame of a case: its folders, its record, its time limit and its exit code. */
public final class Case {
    /** What a case does. */
    public interface Body {
        /** Runs the case; returns how often the rule was broken. */
        int run(Case frame) throws IOException;
    }

    /** Whether the disruption happens; run.sh reads TROUBLE and passes it on. */
    public final boolean trouble = !"0".equals(System.getProperty("trouble"));

    /** The project's root. */
    public final Path root = Path.of("").toAbsolutePath();

    /** A private folder that is removed at the end. */
    public final Path folder;

    private final List<String> lines = new ArrayList<>();

    private Case() throws IOException {
        folder = Files.createTempDirectory("review-case-");
    }

    /** Adds a line to the record. */
    public void record(String format, Object... values) {
        String line =
                String.format(Locale.ROOT, "%9.1f ", Net.now())
                        + String.format(Locale.ROOT, format, values);
        synchronized (lines) {
            lines.add(line);
        }
    }

    /** The exit code if the rule was broken; not 1, with which a JVM ends that finds no class. */
    private static final int BROKEN = 10;

    /** Runs a case; ends with {@link #BROKEN}, 0 if the rule held, or 2 if it could not run. */
    public static void main(Path caseFolder, Body body) throws IOException {
        Case frame = new Case();
        Thread watchdog =
                new Thread(
                        () -> {
                            Net.sleep(110_000);
                            System.err.println("out of time");
                            System.exit(frame.finish(caseFolder, 2));
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code;
        try {
            int broken = body.run(frame);
            code = broken > 0 ? BROKEN : 0;
            frame.record("%s: broken %d times", broken > 0 ? "BROKEN" : "HELD", broken);
        } catch (IOException | RuntimeException | Error e) {
            frame.record("could not run: %s", e);
            code = 2;
        }
        synchronized (frame.lines) {
            System.out.println(frame.lines.get(frame.lines.size() - 1));
        }
        System.exit(frame.finish(caseFolder, code));
    }

    private int finish(Path caseFolder, int code) {
        try {
            synchronized (lines) {
                Files.write(caseFolder.resolve("record.txt"), lines);
            }
            Path log = folder.resolve("n0/proxy.log");
            if (System.getenv("KEEP_LOG") != null && Files.exists(log)) {
                Files.copy(
                        log,
                        Path.of(System.getenv("KEEP_LOG")),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
            try (Stream<Path> all = Files.walk(folder)) {
                all.sorted(Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
            }
        } catch (IOException e) {
            System.err.println(e);
            return 2;
        }
        return code;
    }
}
