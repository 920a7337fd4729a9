package org.bulrushvale.decision.attainment;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * How a request ended and, when it missed its target, the cause of the miss.
 *
 * <p>Thread safety: immutable.
 */
public enum AttainmentOutcome {
    /** Completed in time, so that it met its target. */
    @JsonProperty("met")
    MET(true, true),
    /** Missed its deadline while it waited for capacity. */
    @JsonProperty("queue")
    QUEUE(true, false),
    /** Missed its deadline because a stage was slow. */
    @JsonProperty("stage")
    STAGE(true, false),
    /** Refused before it ran. */
    @JsonProperty("refusal")
    REFUSAL(true, false),
    /** Failed because of a backend server, a connection or an entry. */
    @JsonProperty("fault")
    FAULT(true, false),
    /** Cancelled by its caller or malformed; does not count towards the target. */
    @JsonProperty("caller")
    CALLER(false, false);

    private final boolean mCountsTowardsTarget;
    private final boolean mMeetsTarget;

    AttainmentOutcome(boolean countsTowardsTarget, boolean meetsTarget) {
        mCountsTowardsTarget = countsTowardsTarget;
        mMeetsTarget = meetsTarget;
    }

    /** Returns true when a request with this outcome counts towards the target of its class. */
    public boolean countsTowardsTarget() {
        return mCountsTowardsTarget;
    }

    /** Returns true when a request with this outcome counts towards the target and missed it. */
    public boolean missesTarget() {
        return mCountsTowardsTarget && !mMeetsTarget;
    }
}
