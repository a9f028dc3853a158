/**
 * The values that the decisions take and give: requests, attempts and how they ended, what the
 * settings and the endpoint list say, and the decision itself.
 *
 * <p>No rules, no I/O and no threads. Records may be shared; {@link lemondrift.model.Request},
 * {@link lemondrift.model.Attempt} and {@link lemondrift.model.Decision} are mutable and belong to
 * the decision loop's thread. Times are in seconds of the clock that the caller passes in; what
 * ends in {@code At} and what is called a deadline is an instant of it.
 */
package lemondrift.model;
