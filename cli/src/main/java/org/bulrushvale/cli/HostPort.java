package org.bulrushvale.cli;

import java.net.URI;
import java.net.URISyntaxException;

/**
 * Address of a listener.
 *
 * <p>Invariant: the port is between 1 and 65535. Thread safety: immutable.
 *
 * @param host host name or IP address; an IPv6 address is enclosed in brackets
 * @param port TCP port
 */
record HostPort(String host, int port) {
    private static final int MAX_PORT = 65_535;

    static HostPort parse(String text) throws CliException {
        try {
            URI uri = new URI("http://" + text);
            boolean valid = uri.getHost() != null && uri.getPort() > 0 && uri.getPort() <= MAX_PORT;
            if (valid && uri.getAuthority().equals(text)) {
                return new HostPort(uri.getHost(), uri.getPort());
            }
        } catch (URISyntaxException ignored) {
            // reported below together with the other malformed addresses
        }
        throw CliException.usage("address is not HOST:PORT: " + text);
    }

    URI uri() {
        return URI.create("http://" + this);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
