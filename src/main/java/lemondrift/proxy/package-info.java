/**
 * The proxy as a program: {@link lemondrift.proxy.ProxyServer} composes the packages below this
 * package and owns the program's phase (STARTING, SERVING, DRAINING, STOPPED).
 *
 * <p>The other classes here each do one of its jobs: {@code GracefulShutdown} (SIGTERM), {@code
 * ConfigReload} (SIGHUP), {@code OperatorControl} (the admin address), {@code ResourceSharing} (two
 * processes during an upgrade), {@code IoThreadActions} (from the decision loop to the sockets).
 *
 * <p>Threads: the start runs on main, SIGTERM and SIGHUP on a thread of the JVM each; what touches
 * sockets is handed to the I/O thread, what touches decisions to the decision loop's thread.
 */
package lemondrift.proxy;
