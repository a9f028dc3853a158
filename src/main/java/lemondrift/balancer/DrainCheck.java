package lemondrift.balancer;

import lemondrift.model.Request;

/**
 * Rule 3: a backend that the endpoint list does not give as ready, because it is draining or gone,
 * gets no new attempt or probe from the moment that list arrives. Attempts in flight there
 * continue.
 */
final class DrainCheck extends DecisionStage {
    private final BackendTable backends;

    DrainCheck(BackendTable backends) {
        this.backends = backends;
    }

    @Override
    boolean isBackendEligible(Request request, int backend, double now) {
        return backends.ready[backend] && super.isBackendEligible(request, backend, now);
    }
}
