package org.bulrushvale.decision.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Guards against a shutdown that interrupts accepted requests, or that never completes. */
public class DrainSequenceTest {
    private static final int SEEDS = 500;
    private static final Duration STEP = Duration.ofMillis(50);

    @Test
    public void accepted_requests_run_until_their_own_deadline_before_the_entry_stops() {
        System.out.println("DrainSequenceTest: seeds 0.." + (SEEDS - 1));
        for (long seed = 0; seed < SEEDS; seed++) {
            // given requests that all run until their deadline
            SplittableRandom random = new SplittableRandom(seed);
            ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
            DrainSequence drain = new DrainSequence(clock, DrainTimeouts.DEFAULT);
            PriorityQueue<Long> deadlines = new PriorityQueue<>();
            List<DrainState> entered = new ArrayList<>();
            drain.begin();
            // when
            for (int step = 0; step < 1_000 && drain.state() != DrainState.STOPPED; step++) {
                long deadline =
                        clock.monotonicNanos() + Duration.ofMillis(random.nextInt(5_000)).toNanos();
                boolean accepts = drain.state().accepts();
                assertThat(drain.tryAccept(deadline)).isEqualTo(accepts);
                if (accepts) {
                    deadlines.add(deadline);
                }
                clock.advance(STEP);
                while (!deadlines.isEmpty() && deadlines.peek() <= clock.monotonicNanos()) {
                    deadlines.remove();
                    drain.onRequestEnded();
                }
                entered.addAll(drain.tick());
                if (drain.state() == DrainState.HANDING_OVER) {
                    assertThat(deadlines).as("seed %d", seed).isEmpty();
                    drain.onHandedOver();
                }
                if (drain.state() == DrainState.CLOSING_CONNECTIONS) {
                    drain.onConnectionsClosed();
                }
            }
            // then
            assertThat(drain.abandonedRequests()).isZero();
            assertThat(entered)
                    .containsExactly(
                            DrainState.LISTENERS_CLOSED,
                            DrainState.FINISHING,
                            DrainState.HANDING_OVER,
                            DrainState.CLOSING_CONNECTIONS,
                            DrainState.STOPPED);
        }
    }

    @Test
    public void entry_does_not_stop_before_its_connections_are_closed_or_their_time_has_passed() {
        // given
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        DrainSequence drain = new DrainSequence(clock, DrainTimeouts.DEFAULT);
        drain.begin();
        drain.onHandedOver();
        clock.advance(DrainTimeouts.DEFAULT.unready());
        drain.tick();
        clock.advance(DrainTimeouts.DEFAULT.settle());
        drain.tick();
        assertThat(drain.state()).isEqualTo(DrainState.CLOSING_CONNECTIONS);
        // when
        clock.advance(DrainTimeouts.DEFAULT.closing().minusNanos(1));
        // then
        assertThat(drain.tick()).isEmpty();
        // when
        clock.advance(Duration.ofNanos(1));
        // then
        assertThat(drain.tick()).containsExactly(DrainState.STOPPED);
        assertThat(drain.connectionsClosed()).isFalse();
    }

    @Test
    public void request_that_never_ends_and_handover_that_never_completes_do_not_block_the_stop() {
        // given
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        DrainSequence drain = new DrainSequence(clock, DrainTimeouts.DEFAULT);
        drain.tryAccept(Duration.ofSeconds(5).toNanos());
        drain.begin();
        // when
        for (int i = 0; i < 500; i++) {
            clock.advance(STEP);
            drain.tick();
        }
        // then
        assertThat(drain.state()).isEqualTo(DrainState.STOPPED);
        assertThat(drain.abandonedRequests()).isEqualTo(1);
    }

    @Test
    public void serving_entry_does_not_shut_down_without_begin() {
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        DrainSequence drain = new DrainSequence(clock, DrainTimeouts.DEFAULT);
        clock.advance(Duration.ofHours(1));
        assertThat(drain.tick()).isEmpty();
    }
}
