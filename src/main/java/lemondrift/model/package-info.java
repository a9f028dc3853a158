/**
 * The values that the balancer receives and returns: requests, attempts and their outcomes, the
 * settings, the endpoint list, and the decision itself.
 *
 * <p>Contains no rules, no I/O and no threads. Records may be shared between threads; {@link
 * lemondrift.model.Request}, {@link lemondrift.model.Attempt} and {@link lemondrift.model.Decision}
 * are mutable and belong to the decision thread. Times are in seconds of the clock that the caller
 * passes in. Names that end in {@code At} and deadlines are points in time of that clock.
 */
package lemondrift.model;
