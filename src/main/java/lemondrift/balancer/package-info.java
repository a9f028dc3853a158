/**
 * Decides for one proxy: which requests are admitted, which backend each attempt goes to, when a
 * request is retried and when it is ended by the proxy itself.
 *
 * <p>{@link lemondrift.balancer.LoadBalancer} hears events and answers with a {@link
 * lemondrift.model.Decision}. A request passes a chain of stages, outward until one of them ends
 * it; the end of an attempt comes back inward:
 *
 * <ol>
 *   <li>{@code RequestDeadlines}: how long a request may be attempted, and its one final answer;
 *   <li>{@code AdmissionControl}: rejects what could not be answered in time;
 *   <li>{@code RetryPolicy}: whether and where a request may be attempted again;
 *   <li>{@code OutlierDetection}: ejects backends that fail;
 *   <li>{@code SlowStart}: bounds what a backend gets while it warms up;
 *   <li>{@code DrainCheck}: nothing new to backends that are not listed as ready;
 *   <li>{@code BackendSelector}: the backend of the lowest estimated utilization.
 * </ol>
 *
 * <p>The four rules that the code names: (1) one final answer to each request before its deadline,
 * and nothing after it; (2) no effect twice; (3) nothing new to a backend that is draining or gone;
 * (4) no backend in slow start is pushed over.
 *
 * <p>Owns what is known of the backends and of the open requests. Does no I/O, starts no thread and
 * reads no clock: every call carries the time in seconds. All calls come from one thread, the
 * decision loop's. Randomness comes from {@code DeterministicRandom} alone, so that the same seed
 * and events give the same decisions.
 */
package lemondrift.balancer;
