package org.bulrushvale.decision.attainment;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;

/**
 * Time window over which a burn rate is computed.
 *
 * <p>Thread safety: immutable.
 */
public enum BurnWindow {
    @JsonProperty("5m")
    FIVE_MINUTES(Duration.ofMinutes(5)),
    @JsonProperty("30m")
    HALF_HOUR(Duration.ofMinutes(30)),
    @JsonProperty("1h")
    HOUR(Duration.ofHours(1)),
    @JsonProperty("6h")
    SIX_HOURS(Duration.ofHours(6));

    private final Duration mLength;

    BurnWindow(Duration length) {
        mLength = length;
    }

    /** Returns the length of the window. */
    public Duration length() {
        return mLength;
    }
}
