/**
 * Makes the decisions of one proxy: which requests are admitted, which backend each attempt is sent
 * to, when a request is retried and when the proxy ends it with its own reply.
 *
 * <p>{@link lemondrift.balancer.LoadBalancer} handles events and returns a {@link
 * lemondrift.model.Decision} for each. A request passes through a chain of stages in the order
 * below until one of them ends it. The end of an attempt passes through the chain in reverse order:
 *
 * <ol>
 *   <li>{@code RequestDeadlines}: limits how long a request may be attempted, and gives it one
 *       final answer;
 *   <li>{@code AdmissionControl}: rejects requests that cannot be answered in time;
 *   <li>{@code RetryPolicy}: decides whether a request may be attempted again, and at which
 *       backends;
 *   <li>{@code OutlierDetection}: ejects backends that fail;
 *   <li>{@code SlowStart}: limits the requests that a backend receives while it warms up;
 *   <li>{@code DrainCheck}: sends nothing new to backends that are not listed as ready;
 *   <li>{@code BackendSelector}: chooses the backend with the lowest estimated utilization.
 * </ol>
 *
 * <p>The code refers to four rules by number: (1) each request gets one final answer before its
 * deadline, and nothing after that answer; (2) no effect happens twice; (3) nothing new is sent to
 * a backend that is draining or gone; (4) no backend in slow start is overloaded.
 *
 * <p>The package holds the state of the backends and of the open requests. It does no I/O, starts
 * no thread and reads no clock: every call carries the time in seconds. All calls come from one
 * thread, the decision thread. {@code DeterministicRandom} is the only source of randomness, so
 * that the same seed and events give the same decisions.
 */
package lemondrift.balancer;
