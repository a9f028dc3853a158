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
 * The report of an experiment as JSON: the backend faults, and each run with all figures and
 * series. The JSON keys are the names of the components, unless an annotation names another key.
 */
public record Report(
        String name,
        String about,
        @JsonProperty("troubles") List<BackendFault> backendFaults,
        List<Experiment.Run> runs) {
    /** Creates the report of an experiment from its runs. */
    public static Report of(Experiment experiment, List<Experiment.Run> runs) {
        return new Report(
                experiment.name(), experiment.about(), experiment.scenario().backendFaults(), runs);
    }

    /**
     * Writes reports as one JSON array.
     *
     * @throws IOException if the file cannot be written
     */
    public static void write(List<Report> reports, Path file) throws IOException {
        JsonMapper.builder()
                .visibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.PUBLIC_ONLY)
                .build()
                .writerWithDefaultPrettyPrinter()
                .writeValue(file.toFile(), reports);
    }
}
