/**
 * Determines which share of the proxy's resources a process may use while another process of the
 * same proxy runs, for example during an upgrade. No I/O; called on the thread that checks for
 * other processes.
 */
package lemondrift.hotrestart;
