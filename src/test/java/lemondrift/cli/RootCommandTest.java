package lemondrift.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the exit codes of the command line. */
class RootCommandTest {
    @Test
    void exitCodesReportWhetherACommandSucceeded(@TempDir Path folder) throws Exception {
        String world = "[world]\nproxies = 1\nbackends = 2\nlasts = \"1s\"\n";
        Path good =
                Files.writeString(
                        folder.resolve("good.toml"), "expect = [\"unanswered == 0\"]\n" + world);
        Path missed =
                Files.writeString(
                        folder.resolve("missed.toml"), "expect = [\"service >= 2\"]\n" + world);
        assertEquals(0, RootCommand.run("lab", "run", good.toString()));
        assertEquals(1, RootCommand.run("lab", "run", good.toString(), missed.toString()));
        Path json = folder.resolve("report.json");
        assertEquals(0, RootCommand.run("lab", "run", "--json", json.toString(), good.toString()));
        JsonNode run = new ObjectMapper().readTree(json.toFile()).get(0).get("runs").get(0);
        double requestedWeight = 0;
        for (JsonNode second : run.get("figures").get("wantedIn")) {
            requestedWeight += second.asDouble();
        }
        assertEquals(run.get("figures").get("wanted").asDouble(), requestedWeight, 1e-9);
        assertEquals(0, RootCommand.run("lab", "list", folder.toString()));
        assertEquals(0, RootCommand.run("lab", "compare", good.toString()));
        Path bad = Files.writeString(folder.resolve("bad.toml"), "[wordl]\n");
        assertEquals(2, RootCommand.run("lab", "run", bad.toString()));
        assertEquals(2, RootCommand.run("lab", "run", folder.resolve("none.toml").toString()));
        assertEquals(2, RootCommand.run("lab", "play"));
        assertEquals(2, RootCommand.run());
        assertEquals(0, RootCommand.run("--version"));
    }
}
