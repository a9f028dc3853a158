package lemondrift.lab;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import lemondrift.lab.simulation.BackendFault;

/**
 * The report of an experiment as JSON: its faults, and each run with all its figures and series.
 * The components name its keys.
 */
public record Report(
        String name,
        String about,
        @JsonProperty("troubles") List<BackendFault> backendFaults,
        List<Experiment.Run> runs) {
    /** The report of an experiment that has been played. */
    public static Report of(Experiment experiment, List<Experiment.Run> runs) {
        return new Report(
                experiment.name(), experiment.about(), experiment.scenario().backendFaults(), runs);
    }

    /**
     * Writes reports as one JSON list.
     *
     * @throws IOException where the file cannot be written
     */
    public static void write(List<Report> reports, Path file) throws IOException {
        JsonMapper.builder()
                .visibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.PUBLIC_ONLY)
                .build()
                .writerWithDefaultPrettyPrinter()
                .writeValue(file.toFile(), reports);
    }
}
