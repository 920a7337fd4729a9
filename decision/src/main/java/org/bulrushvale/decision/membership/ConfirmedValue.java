package org.bulrushvale.decision.membership;

import java.time.Duration;

/**
 * A value together with the time at which a source last confirmed that it is the newest one.
 *
 * <p>Invariant: confirming never moves the confirmation time backwards. Thread safety: immutable.
 *
 * @param <T> type of the value
 * @param value the value
 * @param confirmedAtNanos reading of the local monotonic clock
 */
public record ConfirmedValue<T>(T value, long confirmedAtNanos) {
    /** Returns the view with a later confirmation; an earlier one changes nothing. */
    public ConfirmedValue<T> confirmedAt(long nanos) {
        return nanos - confirmedAtNanos > 0 ? new ConfirmedValue<>(value, nanos) : this;
    }

    /** Returns the time since the last confirmation. */
    public Duration age(long nowNanos) {
        return Duration.ofNanos(nowNanos - confirmedAtNanos);
    }

    /** Returns true when the last confirmation is longer ago than the limit. */
    public boolean isOlderThan(Duration limit, long nowNanos) {
        return nowNanos - confirmedAtNanos > limit.toNanos();
    }
}
