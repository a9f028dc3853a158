/**
 * Runs recovery after a start. {@link lemondrift.proxy.recovery.RecoveryCoordinator} polls peers
 * over the socket of gossip and seeds the balancer with the service time that they have measured.
 * {@code SnapshotStore} and {@link lemondrift.proxy.recovery.SnapshotFile} store the start number
 * and the service time on disk, if a folder is configured.
 *
 * <p>The coordinator is used on the decision thread. Files are written on a separate thread
 * ("keeper"), except for the first one, which is written before the start continues.
 */
package lemondrift.proxy.recovery;
