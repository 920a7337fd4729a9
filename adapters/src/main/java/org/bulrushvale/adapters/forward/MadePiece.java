package org.bulrushvale.adapters.forward;

/**
 * A piece whose result lies at its maker.
 *
 * <p>Thread safety: immutable.
 */
public record MadePiece(String requestId, int stage, int piece, String handle) {}
