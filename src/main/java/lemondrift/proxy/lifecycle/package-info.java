/**
 * Startup, shutdown and signals of the process.
 *
 * <ul>
 *   <li>Startup: {@link lemondrift.proxy.lifecycle.ProxyLauncher} reads the configuration, warms
 *       the code up ({@link lemondrift.proxy.lifecycle.Warmup}) and starts the proxy.
 *   <li>SIGTERM: {@code ProxyLauncher.onTerminate} calls {@code ProxyServer.drain}, which runs
 *       {@code GracefulShutdown}. That class lists the steps with their times. Before the proxy is
 *       created, the process ends without a drain. The exit code is 0 in both cases.
 *   <li>SIGHUP: the handler is installed before everything else ({@code HangUpSignal}). Until then
 *       the signal has no effect if the process was started with the signal ignored, as by the
 *       deploy file; otherwise it ends the process. The reload is held back until the proxy serves,
 *       and all signals that arrive until then together cause one reload, as do all signals that
 *       arrive during a reload ({@code CoalescingTask}). {@code ProxyLauncher.reload} reads the
 *       configuration again and passes it to {@code ProxyServer.reload} and {@code ConfigReload},
 *       which documents what changes and what is kept.
 *   <li>Hot restart: {@link lemondrift.proxy.lifecycle.TakeoverLock} lets two processes of one
 *       proxy detect each other.
 * </ul>
 *
 * <p>The startup runs on the main thread, each signal handler on a thread that the JVM creates for
 * it. The takeover lock is refreshed on XNIO's task thread.
 */
package lemondrift.proxy.lifecycle;
