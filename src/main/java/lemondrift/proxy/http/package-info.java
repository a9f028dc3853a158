/**
 * What client side and backend side of the proxy share of HTTP: the header fields that the protocol
 * defines, which characters may stand in a head, and the relay of a body from one side to the
 * other. Knows no connection pools, no clients and no decisions. {@link
 * lemondrift.proxy.http.BodyRelay} runs on the I/O thread; the rest is stateless.
 */
package lemondrift.proxy.http;
