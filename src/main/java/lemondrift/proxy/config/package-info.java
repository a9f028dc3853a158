/**
 * The configuration of one process: the file that PROXY_CONFIG names, the settings files that other
 * environment variables name, and the values that the rest of the proxy reads. Each file has one
 * reader, which maps the operators' keys to the terms of the code; what cannot be used is an {@link
 * lemondrift.settings.InvalidSettingsException} whose message names file and key.
 *
 * <p>Values are immutable. Files are read at the start and at SIGHUP, never on the I/O thread.
 */
package lemondrift.proxy.config;
