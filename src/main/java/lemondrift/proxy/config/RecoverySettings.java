package lemondrift.proxy.config;

import java.nio.file.Path;
import lemondrift.recovery.PeerPollSettings;

/**
 * Settings of the recovery after a start, from peers and snapshots.
 *
 * @param polling the settings of polling peers
 * @param snapshotFolder the folder of the snapshots; null if no disk outlives the process
 * @param snapshotIntervalSeconds the mean time between two snapshots, in seconds
 */
public record RecoverySettings(
        PeerPollSettings polling, Path snapshotFolder, double snapshotIntervalSeconds) {}
