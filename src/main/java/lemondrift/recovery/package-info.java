/**
 * Recovery of a proxy after its start. The proxy learns from its peers and from the snapshot of its
 * previous run whether the peers have just started too, and how long a backend takes for a request.
 * It polls the peers until it has enough samples of its own ({@link
 * lemondrift.recovery.RecoveryState}).
 *
 * <p>All types are immutable values without I/O, clock or threads. The proxy uses them on the
 * decision thread.
 */
package lemondrift.recovery;
