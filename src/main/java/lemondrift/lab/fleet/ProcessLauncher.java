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
 * @param command becomes the proxy's process itself, not the parent of it
 * @param folder its working directory
 * @param environment variables beside those of its configuration
 */
public record ProcessLauncher(List<String> command, Path folder, Map<String, String> environment) {
    /**
     * Starts proxies as the deploy file says.
     *
     * @param root the folder of the deploy file and the built archive
     * @throws InvalidSettingsException where the archive is not built, or the deploy file's command
     *     does not end in an exec
     * @throws IOException where the deploy file cannot be read
     */
    public static ProcessLauncher fromDeployFile(Path root) throws IOException {
        Path archive = root.resolve("target/lemondrift.jar");
        if (!Files.exists(archive)) {
            throw new InvalidSettingsException(archive + ": not there; make build makes it");
        }
        Path deployFile = root.resolve("deploy/balancer.toml");
        String command =
                new TomlMapper().readTree(Files.readString(deployFile)).path("run").asText("");
        if (!command.contains("exec ")) {
            throw new InvalidSettingsException(
                    deployFile + ": run: does not end by exec, so that its process can't be told");
        }
        return new ProcessLauncher(List.of("/bin/sh", "-c", command), root, Map.of());
    }
}
