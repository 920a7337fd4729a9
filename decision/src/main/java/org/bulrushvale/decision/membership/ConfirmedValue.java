package org.bulrushvale.decision.membership;

import java.time.Duration;

/**
 * A value and the time at which a source last confirmed that it is the newest one.
 *
 * <p>Invariant: a confirmation never moves the confirmation time backwards. Thread safety:
 * immutable.
 *
 * @param <T> type of the value
 * @param value the value
 * @param confirmedAtNanos time of the last confirmation on the local monotonic clock
 */
public record ConfirmedValue<T>(T value, long confirmedAtNanos) {
    /** Returns a copy with a later confirmation time; an earlier time changes nothing. */
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
