package org.bulrushvale.kernel.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against spans of other processes that overflow a reading of the clock. */
public class ClockTest {
    @DataProvider
    public Object[][] spans() {
        return new Object[][] {
            {Duration.ZERO, 0L},
            {Duration.ofNanos(7), 7L},
            {Duration.ofMillis(-3), -3_000_000L},
            {Duration.ofDays(365), Duration.ofDays(365).toNanos()},
            {Duration.ofMillis(Long.MAX_VALUE), Clock.MAX_SPAN.toNanos()},
            {Duration.ofMillis(Long.MIN_VALUE), -Clock.MAX_SPAN.toNanos()},
            {Duration.ofSeconds(Long.MAX_VALUE), Clock.MAX_SPAN.toNanos()},
            {Duration.ofSeconds(Long.MIN_VALUE), -Clock.MAX_SPAN.toNanos()},
        };
    }

    @Test(dataProvider = "spans")
    public void a_span_is_limited_to_what_a_reading_can_hold(Duration span, long nanos) {
        assertThat(Clock.boundedNanos(span)).isEqualTo(nanos);
    }

    @Test
    public void readings_with_the_longest_spans_stay_comparable() {
        Clock clock = ManualClock.startingAt(Instant.EPOCH);
        Duration longest = Duration.ofSeconds(Long.MAX_VALUE);
        assertThat(clock.nanosAfter(longest) - clock.nanosBefore(longest)).isPositive();
        assertThat(clock.nanosAfter(longest) - clock.monotonicNanos()).isPositive();
    }
}
