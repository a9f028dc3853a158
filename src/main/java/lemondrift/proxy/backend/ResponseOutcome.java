package lemondrift.proxy.backend;

import lemondrift.model.AttemptOutcome;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.http.ProxyHeaders;

/** Maps what came back on a call to the outcome that the decisions know. */
final class ResponseOutcome {
    private ResponseOutcome() {}

    /**
     * The outcome of a call. Once the last byte of the request is with the kernel the backend may
     * have executed it, whatever is seen after; only the backend's own word, on a 503 or a 504,
     * says otherwise.
     */
    static AttemptOutcome of(BackendResponse response) {
        return switch (response.status()) {
            case BackendResponse.NOT_SENT -> AttemptOutcome.NOT_SENT;
            case 0 -> ofNoResponse(response);
            case BackendResponse.OK -> AttemptOutcome.SUCCESS;
            case 503, 504 ->
                    wasNeverExecuted(response) ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
            default -> AttemptOutcome.ERROR;
        };
    }

    private static AttemptOutcome ofNoResponse(BackendResponse response) {
        if (!response.requestSent()) {
            return AttemptOutcome.CONNECT_FAILED;
        }
        return response.timedOut() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.RESET;
    }

    private static boolean wasNeverExecuted(BackendResponse response) {
        return "1".equals(response.headers().getFirst(ProxyHeaders.NEVER_EXECUTED));
    }
}
