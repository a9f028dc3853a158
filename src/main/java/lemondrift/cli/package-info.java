/**
 * The command line of all commands except {@code serve}, {@code check} and {@code drill}, which
 * start without it: parses arguments, calls the lab and prints results. Exit codes: 0 if a command
 * succeeded, 1 if its run failed or a rule was violated, 2 if an argument or a file is invalid.
 */
package lemondrift.cli;
