/**
 * Decides what share of the proxy's resources a process may use while another process of the same
 * proxy lives, as during an upgrade. No I/O; called on the thread that looks for other processes.
 */
package lemondrift.hotrestart;
