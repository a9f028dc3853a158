/**
 * What a proxy that has just started learns from its peers and from the snapshot of its former
 * self: whether the others have just started too, and how long a backend takes for a request. It
 * polls them until its own samples are enough ({@link lemondrift.recovery.RecoveryState}).
 *
 * <p>Values without I/O, clock or threads; the proxy calls them on the decision loop's thread.
 */
package lemondrift.recovery;
