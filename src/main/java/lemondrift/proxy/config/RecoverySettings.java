package lemondrift.proxy.config;

import java.nio.file.Path;
import lemondrift.recovery.PeerPollSettings;

/**
 * How a proxy that has started learns from its peers, and where it keeps snapshots.
 *
 * @param polling how it polls its peers
 * @param snapshotFolder where snapshots are written; null where no disk outlasts the process
 * @param snapshotIntervalSeconds the mean time between two snapshots
 */
public record RecoverySettings(
        PeerPollSettings polling, Path snapshotFolder, double snapshotIntervalSeconds) {}
