package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.testng.annotations.Test;

/** Guards against a service without stated result memory whose work is never refused. */
public class StageCapacityTest {
    private static final PieceLimits WITHOUT_MEMORY =
            new PieceLimits(1, 10, Duration.ofMillis(200), Duration.ofMillis(10), 0);

    // Full calls of one server: 10 pieces in 300 ms.
    private static final double PIECES_PER_SECOND = 10 / 0.3;

    private static StageCapacity busyServer() {
        StageCapacity.Builder capacity = StageCapacity.builder(WITHOUT_MEMORY, 600e6);
        capacity.add(1, false, 0);
        return capacity.build();
    }

    @Test
    public void results_without_a_size_are_limited_by_the_time_of_calls() {
        StageCapacity capacity = busyServer();
        assertThat(capacity.load(2 * PIECES_PER_SECOND, 0)).isBetween(1.99, 2.01);
        assertThat(capacity.secondsBehind(10 * PIECES_PER_SECOND, 0)).isBetween(10.0, 10.5);
    }

    @Test
    public void results_with_a_size_never_fit_without_memory() {
        StageCapacity capacity = busyServer();
        assertThat(capacity.load(1, 1)).isInfinite();
        assertThat(capacity.secondsBehind(1, 1)).isInfinite();
    }
}
