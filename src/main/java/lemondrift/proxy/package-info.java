/**
 * The proxy server. {@link lemondrift.proxy.ProxyServer} composes the packages below this package
 * and owns the phase (STARTING, SERVING, DRAINING, STOPPED).
 *
 * <p>Each of the other classes has one task: {@code GracefulShutdown} (SIGTERM), {@code
 * ConfigReload} (SIGHUP), {@code OperatorControl} (the admin address), {@code ResourceSharing} (two
 * processes during an upgrade), {@code IoThreadActions} (actions of the decision loop on sockets).
 *
 * <p>Threads: the start runs on the main thread, SIGTERM and SIGHUP each on a thread of the JVM.
 * Work on sockets is passed to the I/O thread, work on decisions to the decision thread.
 */
package lemondrift.proxy;
