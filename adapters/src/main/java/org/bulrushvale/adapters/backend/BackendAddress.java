package org.bulrushvale.adapters.backend;

import java.net.URI;

/**
 * Network address of a backend server.
 *
 * <p>Thread safety: immutable.
 *
 * @param name server name in the published configuration
 * @param host IP address
 * @param port TCP port
 */
public record BackendAddress(String name, String host, int port) {
    URI uri() {
        String hostLiteral = host.indexOf(':') >= 0 ? "[" + host + "]" : host;
        return URI.create("http://" + hostLiteral + ":" + port);
    }
}
