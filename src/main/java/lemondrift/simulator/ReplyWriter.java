package lemondrift.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Encodes one reply frame in a reused buffer that grows as needed. The record codes are those of
 * the simulator's wire protocol.
 */
final class ReplyWriter {
    private static final int CANCEL = 66;
    private static final int FAIL = 67;
    private static final int POLL_FULL_LIST = 68;
    private static final int REJECT = 69;
    private static final int PROXY_FAILED = 70;
    private static final int PROBE = 71;
    private static final int WATCH_LIST = 73;
    private static final int SEND = 74;
    private static final int NOTE = 75;
    private static final int ALARM = 76;
    private static final int MAX_TEXT_BYTES = 2000;

    private ByteBuffer buffer = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    void start() {
        buffer.clear().position(8);
        records = 0;
    }

    private ByteBuffer startRecord(int code, int bytes, int proxy) {
        if (buffer.remaining() < 5 + bytes) {
            ByteBuffer larger = ByteBuffer.allocate(2 * buffer.capacity() + bytes);
            buffer = larger.order(ByteOrder.LITTLE_ENDIAN).put(buffer.flip());
        }
        records++;
        return buffer.put((byte) code).putInt(bytes).putInt(proxy);
    }

    void send(int proxy, long request, long address, double timeoutSeconds) {
        putAddress(startRecord(SEND, 26, proxy).putLong(request), address)
                .putDouble(timeoutSeconds * 1000);
    }

    void fail(int proxy, long request) {
        startRecord(FAIL, 12, proxy).putLong(request);
    }

    void reject(int proxy, long request, double retryAfterSeconds) {
        startRecord(REJECT, 20, proxy).putLong(request).putDouble(retryAfterSeconds * 1000);
    }

    void cancel(int proxy, long request, int index) {
        startRecord(CANCEL, 13, proxy).putLong(request).put((byte) index);
    }

    void probe(int proxy, long address) {
        putAddress(startRecord(PROBE, 10, proxy), address);
    }

    void pollFullList(int proxy) {
        startRecord(POLL_FULL_LIST, 4, proxy);
    }

    void watchList(int proxy) {
        startRecord(WATCH_LIST, 5, proxy).put((byte) 1);
    }

    void alarm(int proxy, double delaySeconds, long tag) {
        startRecord(ALARM, 20, proxy).putDouble(delaySeconds * 1000).putLong(tag);
    }

    void note(int proxy, String text) {
        writeText(NOTE, proxy, text);
    }

    void proxyFailed(int proxy, String text) {
        writeText(PROXY_FAILED, proxy, text);
    }

    private void writeText(int code, int proxy, String text) {
        byte[] bytes = encodeText(text, MAX_TEXT_BYTES);
        startRecord(code, 6 + bytes.length, proxy).putShort((short) bytes.length).put(bytes);
    }

    private static byte[] encodeText(String text, int maxBytes) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return bytes.length <= maxBytes ? bytes : Arrays.copyOf(bytes, maxBytes);
    }

    /**
     * Writes an address, which is stored in a long as the six bytes received: four of the host,
     * then two of the port.
     */
    private static ByteBuffer putAddress(ByteBuffer to, long address) {
        return to.putInt((int) address).putShort((short) (address >>> 32));
    }

    void finish(OutputStream out) throws IOException {
        buffer.putInt(0, buffer.position() - 4).putInt(4, records);
        out.write(buffer.array(), 0, buffer.position());
        out.flush();
    }
}
