package org.bulrushvale.adapters.backend;

import io.undertow.client.ClientConnection;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * An HTTP connection to a server that may send only well-formed responses within a limit.
 *
 * <p>Thread safety: used on the I/O thread of the connection.
 *
 * @param http the connection as the HTTP client sees it
 * @param socket the connection below it
 * @param limit limits what the server may send
 * @param syntax follows the responses of the server
 */
public record LimitedConnection(
        ClientConnection http,
        StreamConnection socket,
        ResponseByteLimit limit,
        ResponseSyntax syntax) {
    /** Returns true when the connection can carry another request. */
    public boolean isOpen() {
        return http.isOpen() && syntax.failure() == null;
    }

    /** Called before a request is sent. */
    public void beginExchange(HttpString method) {
        limit.reset();
        syntax.expectResponse(method.equals(Methods.HEAD));
    }

    /**
     * Closes the socket immediately, also during a response. Undertow's own close waits for the
     * server, which would continue to work on the request.
     */
    public void close() {
        IoUtils.safeClose(socket);
        IoUtils.safeClose(http);
    }
}
