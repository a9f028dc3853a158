/**
 * The command line but for {@code serve}, {@code check} and {@code drill}, which start without it:
 * reads arguments, calls the lab, prints results. Exit codes: 0 done, 1 the run failed or a rule
 * broke, 2 the call cannot be used.
 */
package lemondrift.cli;
