/**
 * Carries out recovery after a start: {@link lemondrift.proxy.recovery.RecoveryCoordinator} polls
 * peers over the gossip datagrams and passes what they have measured to the decisions; {@code
 * SnapshotStore} and {@link lemondrift.proxy.recovery.SnapshotFile} keep the start number and the
 * service time on disk, where a folder is configured.
 *
 * <p>The coordinator belongs to the decision loop's thread; files are written on a thread of their
 * own ("keeper"), but for the first, which is written before the start goes on.
 */
package lemondrift.proxy.recovery;
