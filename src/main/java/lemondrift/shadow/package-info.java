/**
 * Evaluates other settings beside those in force: a second balancer sees all events and says what
 * it would have decided, and nothing of it is carried out.
 *
 * <p>Owns its balancer and its counts. Does no I/O; all calls come from the decision loop's thread.
 */
package lemondrift.shadow;
