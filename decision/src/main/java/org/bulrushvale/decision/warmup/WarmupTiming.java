package org.bulrushvale.decision.warmup;

import java.time.Duration;

/**
 * Time limits of the warm-up rules.
 *
 * <p>Thread safety: immutable.
 *
 * @param listLagMax longest time by which the lists that two entries read may differ
 * @param longestDeadline longest time that a request may run on a backend server
 * @param viewAgeMax an entry whose list was not confirmed for longer sends nothing to cold servers
 * @param reportAgeMax a load report older than this permits nothing
 */
public record WarmupTiming(
        Duration listLagMax, Duration longestDeadline, Duration viewAgeMax, Duration reportAgeMax) {
    /** Returns the limits of the design. */
    public static WarmupTiming defaults() {
        return new WarmupTiming(
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                Duration.ofSeconds(4),
                Duration.ofSeconds(2));
    }

    /** Returns the limits for another longest deadline. */
    public WarmupTiming withLongestDeadline(Duration deadline) {
        return new WarmupTiming(listLagMax, deadline, viewAgeMax, reportAgeMax);
    }

    /**
     * Returns how long a new owner waits. The previous owner may read the list {@code listLagMax}
     * late, use it unconfirmed for {@code viewAgeMax}, and leave requests running for {@code
     * longestDeadline}.
     */
    public Duration holdDown() {
        return listLagMax.plus(viewAgeMax).plus(longestDeadline);
    }
}
