package org.bulrushvale.decision.request;

/**
 * Why a result was dropped.
 *
 * <p>Thread safety: immutable.
 */
public enum DropKind {
    /** The attempt was closed before its result arrived, or the request had ended. */
    LATE,
    /** A result of this attempt has already been accepted. */
    DUPLICATE,
    /** A losing attempt of an earlier stage answered after a later stage had started. */
    REORDERED,
    /** The attempt id was not issued by this run. */
    FOREIGN
}
