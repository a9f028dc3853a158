/**
 * Evaluates other settings alongside those in force: a second balancer receives all events and
 * reports what it would have decided. None of its decisions is carried out.
 *
 * <p>The package holds the second balancer and the counts. It does no I/O; all calls come from the
 * decision thread.
 */
package lemondrift.shadow;
