/**
 * The proxy's clock and the conversion of durations. All instants are seconds of one monotonic
 * clock, all durations are seconds too; libraries that want nanoseconds get them through {@link
 * lemondrift.proxy.time.Durations}. Owns no state and belongs to no thread.
 */
package lemondrift.proxy.time;
