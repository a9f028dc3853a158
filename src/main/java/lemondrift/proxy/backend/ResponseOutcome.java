package lemondrift.proxy.backend;

import io.undertow.util.StatusCodes;
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
