package lemondrift.lab;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import lemondrift.lab.simulation.BackendFault;

/**
 * What came of an experiment, for machines: its troubles, and each run with all its figures and
 * series.
 */
public record Report(
        String name, String about, List<BackendFault> troubles, List<Experiment.Run> runs) {
    /** Writes reports as one JSON list. */
    public static void write(List<Report> reports, Path file) throws IOException {
        JsonMapper.builder()
                .visibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.PUBLIC_ONLY)
                .build()
                .writerWithDefaultPrettyPrinter()
                .writeValue(file.toFile(), reports);
    }
}
