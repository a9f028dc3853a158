package lemondrift.lab.fleet;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import lemondrift.settings.InvalidSettingsException;

/**
 * Describes how the process of a proxy is started.
 *
 * @param command the command, which becomes the proxy's process itself and not its parent
 * @param folder the working directory
 * @param environment environment variables in addition to those of the proxy's configuration
 */
public record ProcessLauncher(List<String> command, Path folder, Map<String, String> environment) {
    /**
     * Returns a launcher that starts proxies with the command of the deploy file.
     *
     * @param root the folder that contains the deploy file and the built archive
     * @throws InvalidSettingsException if the archive is not built, or the deploy file's command
     *     contains no {@code exec}
     * @throws IOException if the deploy file cannot be read
     */
    public static ProcessLauncher fromDeployFile(Path root) throws IOException {
        Path archive = root.resolve("target/lemondrift.jar");
        if (!Files.exists(archive)) {
            throw new InvalidSettingsException(
                    archive + ": file not found; build it with \"make build\"");
        }
        Path deployFile = root.resolve("deploy/balancer.toml");
        String command =
                new TomlMapper().readTree(Files.readString(deployFile)).path("run").asText("");
        if (!command.contains("exec ")) {
            throw new InvalidSettingsException(
                    deployFile
                            + ": run: must start the proxy with exec, so that the process can be"
                            + " signalled");
        }
        return new ProcessLauncher(List.of("/bin/sh", "-c", command), root, Map.of());
    }
}
