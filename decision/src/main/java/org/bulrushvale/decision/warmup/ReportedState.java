package org.bulrushvale.decision.warmup;

/**
 * What a backend server says about its own warmth in a load report.
 *
 * <p>Thread safety: immutable.
 */
public enum ReportedState {
    /** The server says that it carries all its slots. */
    WARM,
    /** The server says that it carries only its bearable load. */
    COLD,
    /** The server does not say; the ramp of its warm-up owner decides. */
    UNKNOWN;

    /** Returns the state for the text of a load report; any other text is {@link #UNKNOWN}. */
    public static ReportedState parse(String text) {
        return switch (text) {
            case "warm" -> WARM;
            case "cold" -> COLD;
            default -> UNKNOWN;
        };
    }
}
