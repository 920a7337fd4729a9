package org.bulrushvale.adapters.peer;

/**
 * Network fault that tests inject on the links to one peer.
 *
 * <p>Thread safety: immutable.
 */
public enum LinkFault {
    /** No fault. */
    NONE,
    /** Links are closed and new ones refused. */
    CLOSED,
    /** Links stay open but lose all bytes in both directions. */
    SILENT
}
