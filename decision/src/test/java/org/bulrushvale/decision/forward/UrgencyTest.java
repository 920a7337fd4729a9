package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Guards against a server that admits work of a worse rank, or late work, before better work. */
public class UrgencyTest {
    @Test
    public void a_better_rank_is_always_more_urgent_and_within_a_rank_work_in_time() {
        for (int rank = 0; rank < 4; rank++) {
            assertThat(Urgency.of(rank, true)).isLessThan(Urgency.of(rank, false));
            assertThat(Urgency.of(rank, false)).isLessThan(Urgency.of(rank + 1, true));
        }
    }

    @Test
    public void every_rank_has_a_value_that_servers_accept() {
        for (int rank : new int[] {Integer.MIN_VALUE, -1, 0, 4, 5, Integer.MAX_VALUE}) {
            assertThat(Urgency.of(rank, true)).isBetween(0, 8);
            assertThat(Urgency.of(rank, false)).isBetween(1, 9);
        }
        assertThat(Urgency.of(7, false)).isEqualTo(Urgency.of(4, false));
    }
}
