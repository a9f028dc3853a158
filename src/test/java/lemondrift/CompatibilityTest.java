package lemondrift;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lemondrift.gossip.LoadGossip;
import lemondrift.gossip.SubsetAssignment;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import lemondrift.recovery.PeerStatus;
import lemondrift.simulator.SimulatorAdapter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares datagrams, frames of the simulator and the lines of {@code check} byte for byte with the
 * stored ones.
 */
class CompatibilityTest {

    @TempDir Path folder;

    @Test
    void recoveryDatagramIsReadAndWrittenAsBefore() throws IOException {
        PeerStatus status =
                new PeerStatus(1764756000123L, 1764755000456L, true, 12.5f, 0.21875f, 40, true);
        GoldenFiles.assertHex("recovery-datagram.hex", status.encode());
        assertEquals(
                Optional.of(status),
                PeerStatus.decode(GoldenFiles.readHex("recovery-datagram.hex")));
    }

    @Test
    void gossipDatagramIsReadAndWrittenAsBefore() throws IOException {
        LoadGossip sender = newGossip(0);
        LoadGossip receiver = newGossip(1);
        sender.attemptSent(LoadGossip.tag("backend-1"));
        sender.attemptSent(LoadGossip.tag("backend-1"));
        sender.attemptSent(LoadGossip.tag("backend-2"));
        List<LoadGossip.Message> due = sender.takeDueMessages(1);
        assertEquals(1, due.size());
        GoldenFiles.assertHex("gossip-datagram.hex", due.get(0).datagram());
        receiver.processDatagram(0, GoldenFiles.readHex("gossip-datagram.hex"), 1);
        assertEquals(2, receiver.peerLoad(LoadGossip.tag("backend-1")));
        assertEquals(1, receiver.peerLoad(LoadGossip.tag("backend-2")));
    }

    private static LoadGossip newGossip(int self) {
        SubsetAssignment subsets = new SubsetAssignment(2, 2);
        subsets.setActive(new int[] {LoadGossip.tag("backend-1"), LoadGossip.tag("backend-2")});
        return new LoadGossip(2, self, 1764756000123L, 0.01, 0.1, subsets, tag -> {});
    }

    @Test
    void simulatorBatchGetsTheSameReplyAsBefore() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code =
                SimulatorAdapter.run(
                        new ByteArrayInputStream(GoldenFiles.readHex("simulator-batch.hex")),
                        out,
                        new PrintStream(err));
        assertEquals("", err.toString(UTF_8));
        assertEquals(0, code);
        GoldenFiles.assertHex("simulator-reply.hex", out.toByteArray());
    }

    @Test
    void checkPrintsTheSameLineAsBeforeForInvalidInput() throws IOException {
        String usable = Files.readString(Path.of("deploy", "sample.json"));
        Map<String, String> invalid = new LinkedHashMap<>();
        invalid.put("no JSON", "nonsense");
        invalid.put("cut off", usable.substring(0, usable.length() / 2));
        invalid.put("an array", "[]");
        invalid.put("no listen", usable.replace("\"listen\"", "\"heard\""));
        invalid.put("listen without a port", usable.replace("127.0.0.1:7070", "127.0.0.1"));
        invalid.put("discovery's port", usable.replace("127.0.0.1:8500", "127.0.0.1:high"));
        invalid.put("seed", usable.replace("8c1f30d27a5be964", "xyz"));
        invalid.put("no number", usable.replace("\"coldFrom\": 0.25", "\"coldFrom\": \"some\""));
        invalid.put("below its bound", usable.replace("\"cold\": 10000", "\"cold\": -1"));
        invalid.put("unknown word", usable.replace("\"fragile\"", "\"sometimes\""));
        invalid.put("missing", usable.replaceFirst("\"contractTime\": 500,", ""));
        invalid.put("no name", usable.replaceFirst("\"name\": \"read\",", ""));
        invalid.put("a name twice", usable.replace("\"write\"", "\"read\""));
        invalid.put("no classes", usable.replace("\"serviceGrades\"", "\"others\""));
        invalid.put("membership mode", usable.replace("\"pushed\"", "\"pulled\""));
        invalid.put("zone", usable.replace("\"zone\": 0", "\"zone\": 7"));
        invalid.put("most forwards", usable.replace("\"mostForwards\": 3", "\"mostForwards\": 0"));
        StringBuilder lines = new StringBuilder();
        for (Map.Entry<String, String> each : invalid.entrySet()) {
            lines.append(each.getKey())
                    .append(" | ")
                    .append(checkConfiguration(each.getValue(), Map.of()));
        }
        lines.append("no file named | ").append(runCheck(Map.of()));
        for (String file : List.of("PROXY_DOOR", "PROXY_PEERS", "PROXY_RECOVERY", "PROXY_SHADOW")) {
            for (String text : List.of("nonsense", "[]", "{\"nothing\":1}", "{}")) {
                Path path = Files.writeString(folder.resolve(file), text);
                lines.append(file)
                        .append(' ')
                        .append(text)
                        .append(" | ")
                        .append(checkConfiguration(usable, Map.of(file, path.toString())));
            }
        }
        lines.append("admin | ")
                .append(checkConfiguration(usable, Map.of("PROXY_ADMIN_ADDR", "nowhere")));
        lines.append("inherited | ")
                .append(checkConfiguration(usable, Map.of("PROXY_INHERITED_FD", "7")));
        GoldenFiles.assertText("check.txt", lines.toString());
    }

    private String checkConfiguration(String configuration, Map<String, String> others)
            throws IOException {
        Map<String, String> environment = new HashMap<>(others);
        environment.put(
                "PROXY_CONFIG",
                Files.writeString(folder.resolve("proxy.json"), configuration).toString());
        return runCheck(environment);
    }

    /**
     * Returns the exit code and the printed text, in which FOLDER stands for the name of the
     * folder.
     */
    private String runCheck(Map<String, String> environment) {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code =
                ProxyLauncher.check(
                        environment, new PrintStream(err, true, StandardCharsets.UTF_8));
        String printed = err.toString(StandardCharsets.UTF_8).replace(folder.toString(), "FOLDER");
        return code + " " + (printed.isEmpty() ? "\n" : printed);
    }
}
