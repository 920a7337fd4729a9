package org.bulrushvale.decision.attainment;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * How a request ended and, when it missed its target, what was the cause.
 *
 * <p>Thread safety: immutable.
 */
public enum AttainmentOutcome {
    /** Complete and in time. */
    @JsonProperty("met")
    MET(true, true),
    /** Missed its deadline while waiting for capacity. */
    @JsonProperty("queue")
    QUEUE(true, false),
    /** Missed its deadline in a slow stage. */
    @JsonProperty("stage")
    STAGE(true, false),
    /** Refused before it ran. */
    @JsonProperty("refusal")
    REFUSAL(true, false),
    /** Failed because of a backend server, a connection or an entry. */
    @JsonProperty("fault")
    FAULT(true, false),
    /** Cancelled by its caller or malformed; does not count for the target. */
    @JsonProperty("caller")
    CALLER(false, false);

    private final boolean mCounts;
    private final boolean mMet;

    AttainmentOutcome(boolean counts, boolean met) {
        mCounts = counts;
        mMet = met;
    }

    /** Returns true when the request counts for the target of its class. */
    public boolean counts() {
        return mCounts;
    }

    /** Returns true when the request counts and missed its target. */
    public boolean missed() {
        return mCounts && !mMet;
    }
}
