/**
 * Limits how much of the request bodies may be buffered. Does no I/O; called on the I/O thread by
 * the client side's {@code RequestBody}.
 */
package lemondrift.buffer;
