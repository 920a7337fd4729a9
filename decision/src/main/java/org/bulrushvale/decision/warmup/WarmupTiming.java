package org.bulrushvale.decision.warmup;

import java.time.Duration;

/**
 * Time limits of the warm-up rules.
 *
 * <p>Thread safety: immutable.
 *
 * @param listLagMax longest time by which the VM lists that two entries read may differ in age
 * @param longestDeadline longest time that a request may run on a backend server
 * @param viewAgeMax longest time since the last confirmation of the VM list after which an entry
 *     still sends to cold servers
 * @param reportAgeMax longest age of a load report that still permits sending
 */
public record WarmupTiming(
        Duration listLagMax, Duration longestDeadline, Duration viewAgeMax, Duration reportAgeMax) {
    /** Returns the default limits. */
    public static WarmupTiming defaults() {
        return new WarmupTiming(
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                Duration.ofSeconds(4),
                Duration.ofSeconds(2));
    }

    /** Returns a copy with another longest deadline. */
    public WarmupTiming withLongestDeadline(Duration deadline) {
        return new WarmupTiming(listLagMax, deadline, viewAgeMax, reportAgeMax);
    }

    /**
     * Returns how long a new owner waits before it sends to a cold server. The previous owner may
     * read the list {@code listLagMax} late, use it unconfirmed for {@code viewAgeMax}, and leave
     * requests running for {@code longestDeadline}.
     */
    public Duration holdDown() {
        return listLagMax.plus(viewAgeMax).plus(longestDeadline);
    }
}
