/**
 * The proxy's clock and the conversion of durations. All instants are seconds of one monotonic
 * clock, and all durations are in seconds; {@link lemondrift.proxy.time.Durations} converts them
 * for libraries that need nanoseconds. Owns no state and may be used on any thread.
 */
package lemondrift.proxy.time;
