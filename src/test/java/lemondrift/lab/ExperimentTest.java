package lemondrift.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import lemondrift.settings.InvalidSettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reading experiments from files, running them, and comparing policies. */
class ExperimentTest {
    private static final String GOOD =
            """
            about = "a small one"
            policies = ["random"]
            seeds = [1, 2]
            expect = ["service >= 0.5", "unanswered == 0"]

            [world]
            proxies = 2
            backends = 4
            lasts = "3s"

            [[trouble]]
            kind = "slow"
            at = "1s"
            lasts = "500ms"
            share = "50%"
            """;

    @TempDir private Path folder;

    private Experiment read(String text) throws Exception {
        return ExperimentFile.read(Files.writeString(folder.resolve("experiment.toml"), text));
    }

    @Test
    void experimentRunsAsItsFileSpecifies() throws Exception {
        Experiment experiment = read(GOOD);
        assertEquals(List.of("module", "random"), experiment.policies());
        assertEquals(0.5, experiment.scenario().backendFaults().get(0).durationSeconds());
        List<Experiment.Run> runs = experiment.run();
        assertEquals(4, runs.size());
        assertEquals(
                runs.toString(),
                experiment.run().toString(),
                "two runs of the same experiment must be equal");
        runs.forEach(run -> assertNull(run.ruleViolation()));
        assertTrue(experiment.expectations().get(1).isMetBy(runs.get(0).result()));
        Experiment.Expectation unreachable =
                new Experiment.Expectation(Figure.SERVICE, Experiment.Comparison.AT_LEAST, 1.1);
        assertFalse(unreachable.isMetBy(runs.get(0).result()));
    }

    @Test
    void invalidValueIsReportedWithFileLineAndKey() {
        Map<String, String> bad =
                Map.of(
                        GOOD.replace("proxies = 2", "proxis = 2"),
                        ":7: proxis",
                        GOOD.replace("\"3s\"", "3"),
                        ":9: lasts",
                        GOOD.replace("\"3s\"", "\"3 hours\""),
                        ":9: lasts",
                        GOOD.replace("\"slow\"", "\"slwo\""),
                        ":12: kind",
                        GOOD.replace("\"50%\"", "\"150%\""),
                        ":15: share",
                        GOOD.replace("backends = 4", "backends = -4"),
                        ":8: backends",
                        GOOD.replace("service >= 0.5", "servise >= 0.5"),
                        ":4: expect",
                        GOOD.replace("\"random\"", "\"rnadom\""),
                        ":2: policies",
                        GOOD.replace("seeds = [1, 2]", "seeds = [1, 2"),
                        ":4: ",
                        GOOD.replace("\"500ms\"", "\"0s\""),
                        ":14: lasts");
        bad.forEach(
                (text, where) -> {
                    InvalidSettingsException refused =
                            assertThrows(InvalidSettingsException.class, () -> read(text), text);
                    assertTrue(
                            refused.getMessage().contains("experiment.toml" + where),
                            refused.getMessage());
                    assertEquals(1, refused.getMessage().lines().count());
                });
    }

    @Test
    void faultsRequireProcessesAndValidTargets() throws Exception {
        String fault = "\n[[fault]]\nkind = \"cut\"\nfrom = \"location 1\"\nboth = true\n";
        String good = "host = \"processes\"\n" + GOOD + fault;
        assertTrue(read(good).faults().get(0).bidirectional());
        Map<String, String> bad =
                Map.of(
                        GOOD + fault,
                        ":18: kind",
                        good.replace("location 1", "place 1"),
                        ":20: from",
                        good.replace("\"cut\"", "\"cat\""),
                        ":19: kind",
                        good.replace("\"cut\"", "\"lose\"\nchannel = \"backends\""),
                        ":19: kind",
                        good.replace("\"processes\"", "\"threads\""),
                        ":1: host",
                        good + "by = 3\n",
                        ":22: by");
        bad.forEach(
                (text, where) -> {
                    InvalidSettingsException refused =
                            assertThrows(InvalidSettingsException.class, () -> read(text), text);
                    assertTrue(
                            refused.getMessage().contains("experiment.toml" + where),
                            refused.getMessage());
                });
    }

    @Test
    void confidenceIntervalExcludesZeroOnlyForAConsistentDifference() {
        PairedDifference same =
                PairedDifference.of(new double[] {1, 2, 3, 4}, new double[] {1.1, 1.9, 3.1, 3.9});
        assertTrue(same.low() < 0 && same.high() > 0, same.toString());
        PairedDifference better =
                PairedDifference.of(new double[] {1, 2, 3, 4}, new double[] {0.8, 1.7, 2.9, 3.6});
        assertEquals(0.25, better.mean(), 1e-9);
        assertTrue(better.low() > 0, better.toString());
    }
}
