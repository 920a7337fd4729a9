package org.bulrushvale.adapters.backend;

/**
 * Why an attempt ended without a complete result.
 *
 * <p>Thread safety: immutable.
 */
public enum BackendFailure {
    /** No usable connection; nothing was sent. */
    CONNECT,
    /** The connection was reset or closed before a response. */
    RESET,
    /** The connection was lost during a response. */
    CUT,
    /** The response ended without a transport error but is incomplete. */
    TRUNCATED,
    /** The server sent no byte within the progress timeout. */
    SILENT,
    /** The response has an error status. */
    STATUS,
    /** The response is larger than the limit. */
    TOO_LARGE,
    /** The response does not follow the protocol. */
    MALFORMED,
    /** The response belongs to another attempt. */
    FOREIGN,
    /** The entry aborted the attempt. */
    ABORTED;

    /** Returns true when the connection was lost, as it is when the process of the server ends. */
    public boolean isConnectionLoss() {
        return this == RESET || this == CUT;
    }
}
