package org.bulrushvale.adapters.backend;

/**
 * Why an attempt ended without a complete result.
 *
 * <p>Thread safety: immutable.
 */
public enum BackendFailure {
    /** No connection; nothing was sent. */
    CONNECT,
    /** The connection was reset or closed before a response. */
    RESET,
    /** The connection was lost in the middle of a response. */
    CUT,
    /** The response ended in order but is not complete. */
    TRUNCATED,
    /** No byte arrived within the progress timeout. */
    SILENT,
    /** The response has an error status. */
    STATUS,
    /** The response is larger than the limit. */
    TOO_LARGE,
    /** The response does not follow the protocol. */
    MALFORMED,
    /** The response belongs to another attempt. */
    FOREIGN,
    /** This side gave up the attempt. */
    ABORTED
}
