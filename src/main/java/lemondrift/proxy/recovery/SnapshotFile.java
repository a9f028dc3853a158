package lemondrift.proxy.recovery;

import com.fasterxml.jackson.annotation.JsonProperty;
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
 * A snapshot in a file, and the one before it in another: a header with magic bytes, version, body
 * length and CRC-32C of the body, then the body as CBOR.
 */
public final class SnapshotFile {
    /** The one version of the format that is read and written. */
    static final int VERSION = 1;

    private static final byte[] MAGIC = "LDSN".getBytes(StandardCharsets.US_ASCII);

    /** Length of the header, in bytes. */
    private static final int HEADER_BYTES = MAGIC.length + Short.BYTES + 2 * Integer.BYTES;

    /** A longer file is no snapshot, and is not read. */
    private static final int MAX_FILE_BYTES = 64 * 1024;

    private static final CBORMapper CBOR = new CBORMapper();

    private SnapshotFile() {}

    /** A snapshot under the names, and in the order, in which it is stored. */
    private record StoredSnapshot(
            @JsonProperty("name") String proxyName,
            @JsonProperty("boot") String bootId,
            @JsonProperty("start") long startNumber,
            @JsonProperty("at") double writtenAt,
            @JsonProperty("work") double serviceTimeSeconds,
            @JsonProperty("answers") int samples) {
        private static StoredSnapshot from(Snapshot snapshot) {
            return new StoredSnapshot(
                    snapshot.proxyName(),
                    snapshot.bootId(),
                    snapshot.startNumber(),
                    snapshot.writtenAt(),
                    snapshot.serviceTimeSeconds(),
                    snapshot.samples());
        }

        private Snapshot toSnapshot() {
            return new Snapshot(
                    proxyName, bootId, startNumber, writtenAt, serviceTimeSeconds, samples);
        }
    }

    static byte[] encode(Snapshot snapshot) throws IOException {
        byte[] body = CBOR.writeValueAsBytes(StoredSnapshot.from(snapshot));
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .put(MAGIC)
                .putShort((short) VERSION)
                .putInt(body.length)
                .putInt(checksum(body))
                .put(body)
                .array();
    }

    private static int checksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return (int) crc.getValue();
    }

    /**
     * Reads a snapshot.
     *
     * @throws IOException with the reason, where the file can't be read, is torn, changed or
     *     foreign, is of another version or has values out of range
     */
    public static Snapshot read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + ": longer than a snapshot may be");
        }
        byte[] content = Files.readAllBytes(file);
        if (content.length < HEADER_BYTES
                || !Arrays.equals(content, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new IOException(file + ": not a snapshot");
        }
        ByteBuffer in = ByteBuffer.wrap(content);
        in.position(MAGIC.length);
        int version = in.getShort();
        int bodyLength = in.getInt();
        int checksum = in.getInt();
        if (version != VERSION) {
            throw new IOException(
                    file + ": of version " + version + ", and this program reads " + VERSION);
        }
        byte[] body = new byte[in.remaining()];
        in.get(body);
        if (bodyLength != body.length || checksum != checksum(body)) {
            throw new IOException(
                    file + ": torn or changed: " + body.length + " bytes of " + bodyLength);
        }
        try {
            return CBOR.readValue(body, StoredSnapshot.class).toSnapshot();
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Where the snapshot before the one in a file is kept. */
    static Path previousFile(Path file) {
        return file.resolveSibling(file.getFileName() + ".1");
    }

    /**
     * Writes a snapshot, and keeps the one before. Guards against a power failure between any two
     * steps: the new file is synced before it gets its name, and the one before keeps its own until
     * then, so what is there under either name is whole.
     */
    static void write(Path file, Snapshot snapshot) throws IOException {
        Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel out =
                FileChannel.open(
                        temporaryFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(encode(snapshot));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        if (Files.exists(file)) {
            Files.move(file, previousFile(file), StandardCopyOption.ATOMIC_MOVE);
        }
        Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent())) {
            folder.force(true);
        }
    }
}
