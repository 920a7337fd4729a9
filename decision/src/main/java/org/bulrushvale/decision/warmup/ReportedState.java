package org.bulrushvale.decision.warmup;

/**
 * Whether a backend server reports itself as warm or cold in a load report.
 *
 * <p>Thread safety: immutable.
 */
public enum ReportedState {
    /** The server can run as many concurrent requests as it has slots. */
    WARM,
    /** The server can run only as many concurrent requests as its cold concurrency. */
    COLD,
    /** The server does not report a state; the ramp of its warm-up owner sets the limit. */
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
