package lemondrift.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Locale;
import java.util.concurrent.Callable;
import lemondrift.proxy.recovery.SnapshotFile;
import lemondrift.recovery.Snapshot;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows snapshots, which proxies store for their next start. */
@Command(
        name = "recovery",
        description = "Shows what a proxy has stored for its next start.",
        mixinStandardHelpOptions = true,
        subcommands = RecoveryCommand.Show.class)
final class RecoveryCommand {
    /** Shows a snapshot. */
    @Command(name = "show", description = "Shows a snapshot.", mixinStandardHelpOptions = true)
    static final class Show implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Parameters(
                paramLabel = "FILE",
                description = "NAME.snap, or NAME.snap.1 for the previous snapshot")
        Path file;

        @Override
        public Integer call() throws IOException {
            Snapshot snapshot = SnapshotFile.read(file);
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "name %s%nstart %d%nwritten %s%nboot %s%n"
                                    + "work %.4f s, of %d answers%n",
                            snapshot.proxyName(),
                            snapshot.startNumber(),
                            Instant.ofEpochMilli((long) (snapshot.writtenAt() * 1000)),
                            snapshot.bootId().isEmpty() ? "not known" : snapshot.bootId(),
                            snapshot.serviceTimeSeconds(),
                            snapshot.samples());
            spec.commandLine().getOut().flush();
            return RootCommand.DONE;
        }
    }
}
