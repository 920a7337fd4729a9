package org.bulrushvale.adapters.backend;

import java.io.IOException;

/**
 * A server sent bytes that are no well-formed HTTP/1.1 response.
 *
 * <p>Thread safety: immutable.
 */
public final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String detail) {
        super(detail);
    }
}
