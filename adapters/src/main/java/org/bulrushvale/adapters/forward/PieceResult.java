package org.bulrushvale.adapters.forward;

/**
 * Outcome of one piece.
 *
 * <p>Invariant: the handle is empty unless the outcome is {@link Outcome#MADE}. Thread safety:
 * immutable.
 */
public record PieceResult(Outcome outcome, String handle) {
    /** Returns the outcome of a computed piece, whose result the server stores. */
    public static PieceResult completed(String handle) {
        return new PieceResult(Outcome.MADE, handle);
    }

    /** Returns the outcome of a piece that has no result. */
    public static PieceResult failed(Outcome outcome) {
        return new PieceResult(outcome, "");
    }

    /** How the computation of a piece ended. */
    public enum Outcome {
        /** The piece was computed and the server stores the result. */
        MADE(false),
        /** The remaining time of the piece had expired. */
        LATE(false),
        /** An input no longer exists. */
        INPUT_GONE(false),
        /** The server had no space to store the result. */
        NO_ROOM(true),
        /** The server failed. */
        FAILED(true);

        private final boolean mMayTryElsewhere;

        Outcome(boolean mayTryElsewhere) {
            mMayTryElsewhere = mayTryElsewhere;
        }

        /** Returns true when another server may succeed with the same piece. */
        public boolean mayTryElsewhere() {
            return mMayTryElsewhere;
        }
    }
}
