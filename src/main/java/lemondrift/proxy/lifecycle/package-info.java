/**
 * Startup, shutdown and signals of the process.
 *
 * <ul>
 *   <li>Startup: {@link lemondrift.proxy.lifecycle.ProxyLauncher} reads the configuration, warms
 *       the code up ({@link lemondrift.proxy.lifecycle.Warmup}) and starts the proxy.
 *   <li>SIGTERM: {@code ProxyLauncher.onTerminate} calls {@code ProxyServer.drain}, which runs
 *       {@code GracefulShutdown}. That class lists the steps with their times. The exit code is 0.
 *   <li>SIGHUP: the handler is installed before everything else ({@code HangUpSignal}). The reload
 *       is held back until the proxy serves, and a series of signals causes a single one ({@code
 *       CoalescingTask}). {@code ProxyLauncher.reload} reads the configuration again and passes it
 *       to {@code ProxyServer.reload} and {@code ConfigReload}, which documents what changes and
 *       what is kept.
 *   <li>Hot restart: {@link lemondrift.proxy.lifecycle.TakeoverLock} lets two processes of one
 *       proxy detect each other.
 * </ul>
 *
 * <p>The startup runs on the main thread, each signal handler on a thread that the JVM creates for
 * it. The takeover lock is refreshed on XNIO's task thread.
 */
package lemondrift.proxy.lifecycle;
