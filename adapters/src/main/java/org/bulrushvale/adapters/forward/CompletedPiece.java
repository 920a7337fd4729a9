package org.bulrushvale.adapters.forward;

/**
 * A piece whose result lies at its maker.
 *
 * <p>Thread safety: immutable.
 */
public record CompletedPiece(String requestId, int stage, int piece, String handle) {
    /** Returns the result of an order. */
    public static CompletedPiece of(PieceOrder order, PieceResult result) {
        return new CompletedPiece(order.requestId(), order.stage(), order.piece(), result.handle());
    }
}
