package org.bulrushvale.adapters.peer;

/**
 * Fault injected on the links to one peer, for tests.
 *
 * <p>Thread safety: immutable.
 */
public enum LinkFault {
    /** No fault. */
    NONE,
    /** Links are closed and new ones refused. */
    CLOSED,
    /** Links stay open but nothing passes in either direction. */
    SILENT
}
