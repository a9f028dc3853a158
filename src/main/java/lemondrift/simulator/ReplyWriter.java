package lemondrift.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Builds one reply frame in a buffer that grows and is reused. */
final class ReplyWriter {
    private static final int CANCEL = 66;
    private static final int SCRAP = 67;
    private static final int ASK_WHOLE = 68;
    private static final int SHED = 69;
    private static final int DIE = 70;
    private static final int PROBE = 71;
    private static final int PEER = 72;
    private static final int WATCH = 73;
    private static final int SEND = 74;
    private static final int NOTE = 75;
    private static final int ALARM = 76;
    private static final int MOST_TEXT = 2000;
    private static final int MOST_PEER = 256;

    private ByteBuffer buf = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    void start() {
        buf.clear().position(8);
        records = 0;
    }

    private ByteBuffer record(int code, int bytes, int instance) {
        if (buf.remaining() < 5 + bytes) {
            ByteBuffer larger = ByteBuffer.allocate(2 * buf.capacity() + bytes);
            buf = larger.order(ByteOrder.LITTLE_ENDIAN).put(buf.flip());
        }
        records++;
        return buf.put((byte) code).putInt(bytes).putInt(instance);
    }

    void send(int instance, long exchange, long address, double timeOut) {
        putAddress(record(SEND, 26, instance).putLong(exchange), address).putDouble(timeOut * 1000);
    }

    void scrap(int instance, long exchange) {
        record(SCRAP, 12, instance).putLong(exchange);
    }

    void shed(int instance, long exchange, double retryAfter) {
        record(SHED, 20, instance).putLong(exchange).putDouble(retryAfter * 1000);
    }

    void cancel(int instance, long exchange, int number) {
        record(CANCEL, 13, instance).putLong(exchange).put((byte) number);
    }

    void probe(int instance, long address) {
        putAddress(record(PROBE, 10, instance), address);
    }

    void askWhole(int instance) {
        record(ASK_WHOLE, 4, instance);
    }

    void watch(int instance) {
        record(WATCH, 5, instance).put((byte) 1);
    }

    void alarm(int instance, double offset, long tag) {
        record(ALARM, 20, instance).putDouble(offset * 1000).putLong(tag);
    }

    void toAllPeers(int instance, String text) {
        byte[] bytes = bytes(text, MOST_PEER);
        record(PEER, 8 + bytes.length, instance)
                .putShort((short) -1)
                .putShort((short) bytes.length)
                .put(bytes);
    }

    void note(int instance, String text) {
        text(NOTE, instance, text);
    }

    void die(int instance, String text) {
        text(DIE, instance, text);
    }

    private void text(int code, int instance, String text) {
        byte[] bytes = bytes(text, MOST_TEXT);
        record(code, 6 + bytes.length, instance).putShort((short) bytes.length).put(bytes);
    }

    private static byte[] bytes(String text, int most) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return bytes.length <= most ? bytes : Arrays.copyOf(bytes, most);
    }

    /** An address is kept as the six bytes it came in, in one long. */
    private static ByteBuffer putAddress(ByteBuffer to, long address) {
        return to.putInt((int) address).putShort((short) (address >>> 32));
    }

    void finish(OutputStream out) throws IOException {
        buf.putInt(0, buf.position() - 4).putInt(4, records);
        out.write(buf.array(), 0, buf.position());
        out.flush();
    }
}
