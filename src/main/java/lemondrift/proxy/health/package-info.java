/**
 * The tasks that have to go on for as long as the proxy serves, and whether they do. Owns their
 * counts of failures, which any thread may update and read.
 */
package lemondrift.proxy.health;
