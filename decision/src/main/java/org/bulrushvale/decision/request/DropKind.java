package org.bulrushvale.decision.request;

/**
 * Why a result was dropped.
 *
 * <p>Thread safety: immutable.
 */
public enum DropKind {
    /** The attempt was closed before its result arrived, or the request had ended. */
    LATE,
    /** The result of this attempt was accepted before. */
    DUPLICATE,
    /** A losing attempt of an earlier stage answered after a later stage had started. */
    REORDERED,
    /** The run never issued this attempt id. */
    FOREIGN
}
