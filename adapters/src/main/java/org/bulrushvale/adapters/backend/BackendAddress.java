package org.bulrushvale.adapters.backend;

import java.net.URI;

/**
 * Where a backend server listens.
 *
 * <p>Thread safety: immutable.
 *
 * @param name name in the published configuration
 * @param host IP address
 * @param port TCP port
 */
public record BackendAddress(String name, String host, int port) {
    URI uri() {
        String literal = host.indexOf(':') >= 0 ? "[" + host + "]" : host;
        return URI.create("http://" + literal + ":" + port);
    }
}
