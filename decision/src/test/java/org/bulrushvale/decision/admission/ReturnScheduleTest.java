package org.bulrushvale.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against refused callers that return together, before there is capacity, or too late to be
 * served.
 */
public class ReturnScheduleTest {
    private static final long STEP_MILLIS = 100;
    private static final Duration REMAINING = Duration.ofSeconds(9);
    private static final Duration NEEDED = Duration.ofMillis(800);

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final ReturnSchedule mSchedule = new ReturnSchedule(mClock);

    private OptionalLong assign(int rank, long untilCapacityMillis, double perSecond) {
        return mSchedule.assign(
                rank, Duration.ofMillis(untilCapacityMillis), perSecond, REMAINING, NEEDED);
    }

    @Test
    public void returns_are_spread_over_steps_by_what_can_be_served_in_them() {
        // given: 20 callers can be served in a second from 500 ms on
        SplittableRandom random = new SplittableRandom(11);
        Map<Long, Integer> perStep = new TreeMap<>();
        int withoutTime = 0;
        // when: 100 callers are refused within a second
        for (int i = 0; i < 100; i++) {
            OptionalLong millis = assign(random.nextInt(4), 500, 20);
            if (millis.isPresent()) {
                long at = Duration.ofNanos(mClock.monotonicNanos()).toMillis() + millis.getAsLong();
                perStep.merge(at / STEP_MILLIS, 1, Integer::sum);
                // then: none exceeds a third of the remaining time
                assertThat(millis.getAsLong()).isBetween(500L, REMAINING.toMillis() / 3);
            } else {
                withoutTime++;
            }
            mClock.advance(Duration.ofMillis(10));
        }
        assertThat(perStep.values()).allMatch(callers -> callers <= 2);
        assertThat(withoutTime).isPositive();
    }

    @Test
    public void better_ranks_find_earlier_steps_after_worse_ones_were_assigned() {
        long lastOfRankTwo = 0;
        for (int i = 0; i < 8; i++) {
            lastOfRankTwo = assign(2, 0, 40).orElseThrow();
        }
        assertThat(assign(0, 0, 40).orElseThrow()).isLessThan(lastOfRankTwo);
    }

    @Test
    public void a_request_that_could_not_be_served_on_its_return_has_no_time() {
        assertThat(assign(0, REMAINING.toMillis() / 3, 20)).isEmpty();
        Duration little = NEEDED.plusMillis(50);
        assertThat(mSchedule.assign(0, Duration.ZERO, 20, little, NEEDED)).isEmpty();
    }
}
