package lemondrift.lab.fleet;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import lemondrift.settings.InvalidSettingsException;

/**
 * How one proxy is started.
 *
 * @param command what becomes the proxy's process, without another in between
 * @param folder where it runs
 * @param environment what it is told beside its configuration
 */
public record ProcessLauncher(List<String> command, Path folder, Map<String, String> environment) {
    /** As the deploy file says; the archive has to be built. */
    public static ProcessLauncher deployed(Path root) throws IOException {
        Path file = root.resolve("deploy/balancer.toml");
        if (!Files.exists(root.resolve("target/lemondrift.jar"))) {
            throw new InvalidSettingsException(
                    root.resolve("target/lemondrift.jar") + ": not there; make build makes it");
        }
        String run = new TomlMapper().readTree(Files.readString(file)).path("run").asText("");
        if (!run.contains("exec ")) {
            throw new InvalidSettingsException(
                    file + ": run: does not end by exec, so that its process can't be told");
        }
        return new ProcessLauncher(List.of("/bin/sh", "-c", run), root, Map.of());
    }
}
