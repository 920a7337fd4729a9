package org.bulrushvale.adapters.forward;

/**
 * A computed piece; the backend server that computed it stores the result under the handle.
 *
 * <p>Thread safety: immutable.
 */
public record CompletedPiece(String requestId, int stage, int piece, String handle) {
    /** Returns the piece of an order that completed with the given result. */
    public static CompletedPiece of(PieceOrder order, PieceResult result) {
        return new CompletedPiece(order.requestId(), order.stage(), order.piece(), result.handle());
    }
}
