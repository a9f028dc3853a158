package lemondrift;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import lemondrift.simulator.SimulatorAdapter;
import org.junit.jupiter.api.Test;

/** Tests the simulator adapter byte for byte. */
class SimulatorAdapterTest {
    private static final String LIST_RECORD =
            "0b 1d000000 00 01000000 0a124a07 931f 0000 00 0000 01 0000803f" + " 0000000000000000";
    private static final String CACHED_LIST_RECORD = "02 0e000000 03000000 00 02 2900000000000000";
    private static final String ARRIVAL_RECORD =
            "03 2b000000 03000000 c4913a5d5a520000 0000 00000000"
                    + " 640ad2557c3bf091 0000000000006e40 0000000000002840 01";
    private static final String SEND_RECORD = "4a 1a000000 03000000 c4913a5d5a520000 0a124a07 931f";
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(byte[]... frames) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] frame : frames) {
            all.writeBytes(frame);
        }
        return SimulatorAdapter.run(
                new ByteArrayInputStream(all.toByteArray()), out, new PrintStream(err));
    }

    private ByteBuffer replies() {
        return ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
    }

    @Test
    void emptyBatchGetsEmptyReplyAndInputMayEndBetweenFrames() {
        assertEquals(0, run(TestDeployment.batchFrame(0)));
        assertArrayEquals(TestDeployment.parseHex("04000000 00000000"), out.toByteArray());
    }

    @Test
    void arrivedRequestIsSentAndItsDeliveryEndsIt() {
        String ok =
                "05 1f000000 03000000 c4913a5d5a520000 00 0a124a07 931f 0100 0000000000803240 01"
                        + " 00";
        assertEquals(
                0,
                run(
                        TestDeployment.batchFrame(
                                4,
                                TestDeployment.startRecordHex(3),
                                LIST_RECORD,
                                CACHED_LIST_RECORD,
                                ARRIVAL_RECORD),
                        TestDeployment.batchFrame(1, ok)));
        byte[] send = TestDeployment.parseHex(SEND_RECORD);
        assertArrayEquals(send, Arrays.copyOfRange(out.toByteArray(), 8, 8 + send.length));
        assertEquals(240, replies().getDouble(8 + send.length), 1e-6, "the timeout in ms");
        assertEquals(2, replies().getInt(4), "the attempt and the wake-up alarm");
        assertEquals(
                0,
                replies().getInt(4 + replies().getInt(0) + 4),
                "no further records once the response is delivered");
    }

    @Test
    void staleAlarmsAndEventsForUnknownIdsAreIgnored() {
        String alarm = "07 0c000000 03000000 4d00000000000000";
        String clientLeft = "06 0c000000 05000000 192b6f0ecc230400";
        String unknown = "63 03000000 010203";
        assertEquals(
                0,
                run(
                        TestDeployment.batchFrame(
                                5,
                                TestDeployment.startRecordHex(3),
                                TestDeployment.startRecordHex(5),
                                alarm,
                                clientLeft,
                                unknown)));
        assertEquals(0, replies().getInt(4));
    }

    @Test
    void instanceRestartedInTheSameBatchStartsWithoutState() {
        assertEquals(
                0,
                run(
                        TestDeployment.batchFrame(
                                4,
                                TestDeployment.startRecordHex(3),
                                LIST_RECORD,
                                CACHED_LIST_RECORD,
                                ARRIVAL_RECORD),
                        TestDeployment.batchFrame(
                                4,
                                "0a 04000000 03000000",
                                TestDeployment.startRecordHex(3),
                                CACHED_LIST_RECORD,
                                ARRIVAL_RECORD)));
        int second = 4 + replies().getInt(0);
        assertEquals(
                2,
                replies().getInt(second + 4),
                "the same id is a new request, which is sent again");
    }

    @Test
    void instanceDecidesTheSameWhicheverOthersItsProcessHosts() {
        run(
                TestDeployment.batchFrame(
                        4,
                        TestDeployment.startRecordHex(3),
                        LIST_RECORD,
                        CACHED_LIST_RECORD,
                        ARRIVAL_RECORD));
        byte[] alone = out.toByteArray();
        out.reset();
        run(
                TestDeployment.batchFrame(
                        5,
                        TestDeployment.startRecordHex(9),
                        TestDeployment.startRecordHex(3),
                        LIST_RECORD,
                        CACHED_LIST_RECORD,
                        ARRIVAL_RECORD));
        assertArrayEquals(alone, out.toByteArray());
    }

    @Test
    void invalidInputGetsOneLineAndAnExitCode() {
        byte[] completeFrame =
                TestDeployment.batchFrame(1, "07 0c000000 03000000 4d00000000000000");
        assertRejected("ends after 20 of", Arrays.copyOf(completeFrame, 24));
        assertRejected("ends after 2 of 4", Arrays.copyOf(completeFrame, 2));
        assertRejected("has length 99", TestDeployment.batchFrame(1, "07 63000000 03000000"));
        assertRejected(
                "too short",
                TestDeployment.batchFrame(
                        2, TestDeployment.startRecordHex(3), "03 04000000 03000000"));
        assertRejected(
                "cut short", TestDeployment.batchFrame(2, "07 0c000000 03000000 4d00000000000000"));
        String key = "serviceGrades.0.contractTime";
        assertRejected(
                key + ": missing",
                TestDeployment.batchFrame(1, TestDeployment.startRecordHex(3, key)));
        assertRejected(
                "list 0 was never defined",
                TestDeployment.batchFrame(2, TestDeployment.startRecordHex(3), CACHED_LIST_RECORD));
    }

    private void assertRejected(String message, byte[] frames) {
        err.reset();
        assertEquals(1, run(frames));
        assertTrue(
                err.toString(UTF_8).contains(message) && err.toString(UTF_8).lines().count() == 1,
                err.toString(UTF_8));
    }
}
