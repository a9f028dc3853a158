package lemondrift.serve;

import io.undertow.server.HttpServerExchange;
import lemondrift.model.Exchange;

/**
 * An exchange with its client's side: the request as it came, which the decisions never see. The upload is
 * null where all of the body is here.
 */
record Taken(Exchange exchange, HttpServerExchange client, byte[] body, Upload upload) {}
