/**
 * HTTP code that the client side and the backend side of the proxy share: the header fields of the
 * protocol, the characters that a head may contain, and the relay of a body from one side to the
 * other. Does not depend on connection pools, clients or decisions. {@link
 * lemondrift.proxy.http.BodyRelay} runs on the I/O thread; the other classes are stateless.
 */
package lemondrift.proxy.http;
