package lemondrift.proxy.recovery;

import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.zip.CRC32C;
import lemondrift.recovery.Snapshot;

/**
 * A snapshot in a file, and the one before it in another: a head with version, length and sum, then
 * CBOR.
 */
public final class SnapshotFile {
    public static final int VERSION = 1;
    private static final byte[] MAGIC = "LDSN".getBytes(StandardCharsets.US_ASCII);
    private static final int HEAD = MAGIC.length + Short.BYTES + 2 * Integer.BYTES;
    private static final int MOST = 64 * 1024;
    private static final CBORMapper CBOR = new CBORMapper();

    private SnapshotFile() {}

    static byte[] encoded(Snapshot snapshot) throws IOException {
        byte[] body = CBOR.writeValueAsBytes(snapshot);
        return ByteBuffer.allocate(HEAD + body.length)
                .put(MAGIC)
                .putShort((short) VERSION)
                .putInt(body.length)
                .putInt(sum(body))
                .put(body)
                .array();
    }

    private static int sum(byte[] body) {
        CRC32C sum = new CRC32C();
        sum.update(body);
        return (int) sum.getValue();
    }

    /** Throws IOException, with why, where it is torn, flipped, foreign or of another version. */
    public static Snapshot read(Path file) throws IOException {
        if (Files.size(file) > MOST) {
            throw new IOException(file + ": longer than a snapshot may be");
        }
        byte[] all = Files.readAllBytes(file);
        ByteBuffer in = ByteBuffer.wrap(all);
        if (all.length < HEAD || !Arrays.equals(all, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new IOException(file + ": not a snapshot");
        }
        in.position(MAGIC.length);
        int version = in.getShort();
        int length = in.getInt();
        int sum = in.getInt();
        if (version != VERSION) {
            throw new IOException(
                    file + ": of version " + version + ", and this program reads " + VERSION);
        }
        byte[] body = new byte[in.remaining()];
        in.get(body);
        if (length != body.length || sum != sum(body)) {
            throw new IOException(
                    file + ": torn or changed: " + body.length + " bytes of " + length);
        }
        return CBOR.readValue(body, Snapshot.class);
    }

    /** The older generation's place. */
    public static Path before(Path file) {
        return file.resolveSibling(file.getFileName() + ".1");
    }

    /**
     * Danger: power may fail between any two steps. Whatever is there under either name is whole:
     * the new one is synced before it gets its name, and the older one keeps its own until then.
     */
    static void write(Path file, Snapshot snapshot) throws IOException {
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel out =
                FileChannel.open(
                        fresh,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(encoded(snapshot));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        if (Files.exists(file)) {
            Files.move(file, before(file), StandardCopyOption.ATOMIC_MOVE);
        }
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent())) {
            folder.force(true);
        }
    }
}
