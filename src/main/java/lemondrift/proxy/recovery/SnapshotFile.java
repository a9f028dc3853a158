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
 * Reads and writes snapshots. A file holds one snapshot, and a second file holds the previous one.
 * The format is a header with magic bytes, version, body length and CRC-32C of the body, followed
 * by the body as CBOR.
 */
public final class SnapshotFile {
    /** The only version of the format that is read and written. */
    static final int VERSION = 1;

    private static final byte[] MAGIC = "LDSN".getBytes(StandardCharsets.US_ASCII);

    /** Length of the header, in bytes. */
    private static final int HEADER_BYTES = MAGIC.length + Short.BYTES + 2 * Integer.BYTES;

    /** Maximum size of a snapshot file, in bytes; longer files are not read. */
    private static final int MAX_FILE_BYTES = 64 * 1024;

    private static final CBORMapper CBOR = new CBORMapper();

    private SnapshotFile() {}

    /** The fields of a snapshot with the names and in the order in which they are stored. */
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
     * @throws IOException if the file cannot be read, is truncated, corrupt or not a snapshot, has
     *     another version or contains values that are out of range; the message says which
     */
    public static Snapshot read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(
                    file + ": not a snapshot: longer than " + MAX_FILE_BYTES + " bytes");
        }
        byte[] content = Files.readAllBytes(file);
        if (content.length < HEADER_BYTES
                || !Arrays.equals(content, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new IOException(
                    file + ": not a snapshot: header is too short or has other magic bytes");
        }
        ByteBuffer in = ByteBuffer.wrap(content);
        in.position(MAGIC.length);
        int version = in.getShort();
        int bodyLength = in.getInt();
        int checksum = in.getInt();
        if (version != VERSION) {
            throw new IOException(
                    file + ": snapshot has version " + version + ", expected version " + VERSION);
        }
        byte[] body = new byte[in.remaining()];
        in.get(body);
        if (bodyLength != body.length || checksum != checksum(body)) {
            throw new IOException(
                    file
                            + ": snapshot is truncated or corrupt: body has "
                            + body.length
                            + " bytes of "
                            + bodyLength
                            + ", or its checksum is wrong");
        }
        try {
            return CBOR.readValue(body, StoredSnapshot.class).toSnapshot();
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Returns the file with the snapshot before the one in the given file. */
    static Path previousFile(Path file) {
        return file.resolveSibling(file.getFileName() + ".1");
    }

    /**
     * Writes a snapshot and keeps the previous one. Guards against a power failure between any two
     * steps: the new file is synced before it is renamed to its final name, and the previous file
     * keeps its name until then. A file under either name is therefore always complete.
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
