package lemondrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;

/**
 * Files with the bytes that the program printed, sent or stored at revision 5714488. Later versions
 * must produce the same bytes.
 */
public final class GoldenFiles {
    private static final String FOLDER = "/compatibility/";

    private GoldenFiles() {}

    /** Returns the content of a stored file; empty if there is no such file. */
    public static byte[] read(String name) throws IOException {
        try (InputStream in = GoldenFiles.class.getResourceAsStream(FOLDER + name)) {
            return in == null ? new byte[0] : in.readAllBytes();
        }
    }

    /** Returns the bytes of a file that stores them as lines of hexadecimal digits. */
    public static byte[] readHex(String name) throws IOException {
        return HexFormat.of()
                .parseHex(new String(read(name), StandardCharsets.US_ASCII).replaceAll("\\s", ""));
    }

    /**
     * Compares text with a stored file. Writes the actual text to the folder target/compatibility.
     */
    public static void assertText(String name, String actual) throws IOException {
        saveActual(name, actual.getBytes(StandardCharsets.UTF_8));
        assertEquals(new String(read(name), StandardCharsets.UTF_8), actual);
    }

    /** Compares bytes with a file that stores them as hexadecimal digits, 32 bytes a line. */
    public static void assertHex(String name, byte[] actual) throws IOException {
        assertText(
                name,
                HexFormat.of().formatHex(actual).replaceAll("(.{64})", "$1\n").strip() + "\n");
    }

    private static void saveActual(String name, byte[] actual) throws IOException {
        Path folder = Files.createDirectories(Path.of("target", "compatibility"));
        Files.write(folder.resolve(name), actual);
    }
}
