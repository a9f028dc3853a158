/**
 * The configuration of one process: the file that PROXY_CONFIG names, the settings files that other
 * environment variables name, and the values that the rest of the proxy uses. Each file has one
 * reader, which maps the keys in the file to the terms of the code. Invalid input causes an {@link
 * lemondrift.settings.InvalidSettingsException} whose message names the file and the key.
 *
 * <p>Values are immutable. Files are read at the start and at SIGHUP, never on the I/O thread.
 */
package lemondrift.proxy.config;
