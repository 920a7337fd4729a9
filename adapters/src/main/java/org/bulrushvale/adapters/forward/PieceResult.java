package org.bulrushvale.adapters.forward;

/**
 * Outcome of one piece.
 *
 * <p>Invariant: the handle is empty unless the outcome is {@link Outcome#MADE}. Thread safety:
 * immutable.
 */
public record PieceResult(Outcome outcome, String handle) {
    /** Returns a result that lies at its maker. */
    public static PieceResult completed(String handle) {
        return new PieceResult(Outcome.MADE, handle);
    }

    /** Returns a failure. */
    public static PieceResult failed(Outcome outcome) {
        return new PieceResult(outcome, "");
    }

    /** What became of a piece. */
    public enum Outcome {
        /** The result lies at its maker. */
        MADE(false),
        /** The time of the piece was over. */
        LATE(false),
        /** An input does not exist any more. */
        INPUT_GONE(false),
        /** The server had no room for the result. */
        NO_ROOM(true),
        /** The server failed. */
        FAILED(true);

        private final boolean mElsewhere;

        Outcome(boolean elsewhere) {
            mElsewhere = elsewhere;
        }

        /** Returns true when another server may succeed. */
        public boolean mayTryElsewhere() {
            return mElsewhere;
        }
    }
}
