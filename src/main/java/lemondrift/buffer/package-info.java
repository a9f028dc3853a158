/**
 * How much of request bodies may be buffered. No I/O; called on the I/O thread by the client side's
 * {@code RequestBody}.
 */
package lemondrift.buffer;
