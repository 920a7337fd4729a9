package org.bulrushvale.decision.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a stop that begins requests which it then gives up. */
public class GracePeriodTest {
    private static final Duration STEP = Duration.ofMillis(10);

    @DataProvider
    public Object[][] graceTimes() {
        return new Object[][] {{1}, {3}, {8}, {30}};
    }

    @Test(dataProvider = "graceTimes")
    public void a_request_admitted_after_the_first_quarter_ends_before_the_final_answers(
            int graceSeconds) {
        // given
        Duration grace = Duration.ofSeconds(graceSeconds);
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        GracePeriod period = new GracePeriod(clock, grace.dividedBy(10), grace);
        period.begin(clock.monotonicNanos());
        Duration latestEnd = Duration.ZERO;
        Duration firstFinalAnswer = null;
        for (Duration now = Duration.ZERO; now.compareTo(grace) < 0; now = now.plus(STEP)) {
            // when
            boolean pastFirstQuarter = now.multipliedBy(4).compareTo(grace) >= 0;
            for (int tenths = 1; tenths <= 20 && pastFirstQuarter; tenths++) {
                Duration timeLimit = grace.multipliedBy(tenths).dividedBy(10);
                if (period.admits(false, timeLimit)
                        && now.plus(timeLimit).compareTo(latestEnd) > 0) {
                    latestEnd = now.plus(timeLimit);
                }
                // then
                assertThat(period.admits(true, timeLimit)).as("stream at %s", now).isFalse();
            }
            if (period.areFinalAnswersDue() && firstFinalAnswer == null) {
                firstFinalAnswer = now;
            }
            clock.advance(STEP);
        }
        assertThat(latestEnd).isPositive().isLessThanOrEqualTo(firstFinalAnswer);
        assertThat(firstFinalAnswer).isGreaterThan(grace.multipliedBy(5).dividedBy(6));
        assertThat(firstFinalAnswer)
                .isBetween(period.finalAnswersAfter(), period.finalAnswersAfter().plus(STEP));
        assertThat(period.endAfter()).isGreaterThan(period.finalAnswersAfter()).isLessThan(grace);
    }

    @Test
    public void
            everything_is_admitted_before_the_stop_and_in_the_first_quarter_of_the_grace_time() {
        // given
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        GracePeriod period = new GracePeriod(clock, Duration.ofSeconds(1), Duration.ofSeconds(8));
        Duration longLimit = Duration.ofSeconds(20);
        // when, then
        assertThat(period.admits(true, longLimit)).isTrue();
        assertThat(period.mayEndWhenIdle()).isFalse();
        period.begin(clock.monotonicNanos());
        clock.advance(Duration.ofMillis(1_999));
        period.begin(clock.monotonicNanos());
        assertThat(period.admits(true, longLimit)).isTrue();
        assertThat(period.mayEndWhenIdle()).isTrue();
        clock.advance(Duration.ofMillis(1));
        assertThat(period.admits(false, longLimit)).isFalse();
        assertThat(period.areFinalAnswersDue()).isFalse();
    }
}
