package lemondrift.balancer;

import lemondrift.model.Request;

/**
 * Rule 3: a backend that the endpoint list does not give as ready, since it is draining or gone,
 * gets no new attempt or probe from the moment of that list on. Attempts in flight there go on.
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
