package org.bulrushvale.decision.keys;

import org.jspecify.annotations.Nullable;

/**
 * How the run of a key ended.
 *
 * <p>Invariant: output is present only for {@code DONE} and is at most {@link #MAX_OUTPUT_CHARS}
 * long. Thread safety: immutable.
 *
 * @param kind how the run ended
 * @param status HTTP status of the answer, 0 unless {@code DONE}
 * @param output answer body, or null when it was too large to keep
 */
public record KeyOutcome(Kind kind, int status, @Nullable String output) {
    /** Larger answers are recorded without their output. */
    public static final int MAX_OUTPUT_CHARS = 16 * 1024;

    public KeyOutcome {
        if (kind != Kind.DONE && (status != 0 || output != null)) {
            throw new IllegalArgumentException("only a completed run has a status and an output");
        }
        if (output != null && output.length() > MAX_OUTPUT_CHARS) {
            output = null;
        }
    }

    /** The work ran and its answer is known. */
    public static KeyOutcome done(int status, @Nullable String output) {
        return new KeyOutcome(Kind.DONE, status, output);
    }

    /** It is not known whether the work ran; the key is never run again. */
    public static KeyOutcome unknown() {
        return new KeyOutcome(Kind.UNKNOWN, 0, null);
    }

    /** The work is proven not to have run; the key returns to the unused state. */
    public static KeyOutcome notRun() {
        return new KeyOutcome(Kind.NOT_RUN, 0, null);
    }

    KeyOutcome withoutOutput() {
        return new KeyOutcome(kind, status, null);
    }

    /**
     * Kinds of outcome.
     *
     * <p>Thread safety: immutable.
     */
    public enum Kind {
        DONE,
        UNKNOWN,
        NOT_RUN
    }
}
