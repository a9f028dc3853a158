package lemondrift.proxy.backend;

import io.undertow.util.StatusCodes;
import lemondrift.model.AttemptOutcome;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.http.ProxyHeaders;

/** Maps the result of a call to the outcome of its attempt. */
final class ResponseOutcome {
    private ResponseOutcome() {}

    /**
     * Returns the outcome of a call. Once the kernel has the last byte of the request, the backend
     * may have executed it, regardless of what happens afterwards; only a 503 or 504 on which the
     * backend states that it did not execute the request proves otherwise.
     */
    static AttemptOutcome toAttemptOutcome(BackendResponse response) {
        return switch (response.completion()) {
            case RECEIVED -> outcomeOfStatus(response);
            case NOT_SENT -> AttemptOutcome.NOT_SENT;
            case FAILED_BEFORE_SENT -> AttemptOutcome.CONNECT_FAILED;
            case CONNECTION_BROKEN -> AttemptOutcome.RESET;
            case TIMED_OUT -> AttemptOutcome.TIMED_OUT;
        };
    }

    private static AttemptOutcome outcomeOfStatus(BackendResponse response) {
        return switch (response.status()) {
            case BackendResponse.OK -> AttemptOutcome.SUCCESS;
            case StatusCodes.SERVICE_UNAVAILABLE, StatusCodes.GATEWAY_TIME_OUT ->
                    wasNeverExecuted(response) ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
            default -> AttemptOutcome.ERROR;
        };
    }

    private static boolean wasNeverExecuted(BackendResponse response) {
        return "1".equals(response.headers().getFirst(ProxyHeaders.NEVER_EXECUTED));
    }
}
