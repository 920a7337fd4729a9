package org.bulrushvale.decision.keys;

import org.jspecify.annotations.Nullable;

/**
 * Outcome of a request that ran under a key.
 *
 * <p>Invariant: output is present only for {@code DONE} and is at most {@link #MAX_OUTPUT_CHARS}
 * long. Thread safety: immutable.
 *
 * @param kind kind of outcome
 * @param status HTTP status of the answer, 0 unless {@code DONE}
 * @param output answer body, or null when there is none or it was too large to keep
 */
public record KeyOutcome(Kind kind, int status, @Nullable String output) {
    /** Maximum stored length; a longer answer is recorded without its output. */
    public static final int MAX_OUTPUT_CHARS = 16 * 1024;

    public KeyOutcome {
        if (kind != Kind.DONE && (status != 0 || output != null)) {
            throw new IllegalArgumentException(
                    "only an outcome of kind DONE has a status and an output");
        }
        if (output != null && output.length() > MAX_OUTPUT_CHARS) {
            output = null;
        }
    }

    /** Returns the outcome of a request that ran and whose answer is known. */
    public static KeyOutcome done(int status, @Nullable String output) {
        return new KeyOutcome(Kind.DONE, status, output);
    }

    /** Returns the outcome of a request that may have run; its key never runs again. */
    public static KeyOutcome unknown() {
        return new KeyOutcome(Kind.UNKNOWN, 0, null);
    }

    /** Returns the outcome of a request that provably did not run; its key is unused again. */
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
