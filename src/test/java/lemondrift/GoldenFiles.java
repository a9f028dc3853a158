package lemondrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;

/**
 * What the program printed, sent or stored when it landed as 5714488; later ones have to do the
 * same.
 */
public final class GoldenFiles {
    private static final String FOLDER = "/compatibility/";

    private GoldenFiles() {}

    /** A resource as it was stored. */
    public static byte[] read(String name) throws IOException {
        try (InputStream in = GoldenFiles.class.getResourceAsStream(FOLDER + name)) {
            return in == null ? new byte[0] : in.readAllBytes();
        }
    }

    /** Bytes that are stored as lines of hexadecimal digits. */
    public static byte[] readHex(String name) throws IOException {
        return HexFormat.of()
                .parseHex(new String(read(name), StandardCharsets.US_ASCII).replaceAll("\\s", ""));
    }

    /** Compares text with what is stored; where it differs the actual one is left under target. */
    public static void assertText(String name, String actual) throws IOException {
        saveActual(name, actual.getBytes(StandardCharsets.UTF_8));
        assertEquals(new String(read(name), StandardCharsets.UTF_8), actual);
    }

    /** Compares bytes with what is stored in hexadecimal digits, 32 bytes a line. */
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
