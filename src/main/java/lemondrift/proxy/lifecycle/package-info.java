/**
 * Start and end of the process, and its signals.
 *
 * <ul>
 *   <li>Start: {@link lemondrift.proxy.lifecycle.ProxyLauncher} reads the configuration, warms the
 *       code up ({@link lemondrift.proxy.lifecycle.Warmup}) and starts the proxy.
 *   <li>SIGTERM: {@code ProxyLauncher.onTerminate}, then {@code ProxyServer.drain} and {@code
 *       GracefulShutdown}, which lists the steps with their times. Exit code 0.
 *   <li>SIGHUP: handled before all else ({@code HangUpSignal}); held back until the proxy serves,
 *       and one reading for a series ({@code CoalescingTask}). {@code ProxyLauncher.reload} reads
 *       the configuration again, then {@code ProxyServer.reload} and {@code ConfigReload}, which
 *       says what changes and what stays.
 *   <li>Hot restart: {@link lemondrift.proxy.lifecycle.TakeoverLock} tells two processes of one
 *       proxy of each other.
 * </ul>
 *
 * <p>The start runs on the main thread, each signal on a thread that the JVM makes for it; the lock
 * is looked at on XNIO's task thread.
 */
package lemondrift.proxy.lifecycle;
