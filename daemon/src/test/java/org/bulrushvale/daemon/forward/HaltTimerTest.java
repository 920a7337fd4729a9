package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.testng.annotations.Test;

/** Guards against a process that outlives its grace time because its event loop is late. */
public class HaltTimerTest {
    private static final Duration LIMIT = Duration.ofSeconds(10);

    @Test
    public void the_process_is_halted_at_its_time_although_the_event_loop_is_blocked()
            throws Exception {
        Clock clock = Clock.system();
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch halted = new CountDownLatch(1);
        AtomicLong haltedNanos = new AtomicLong();
        try (EventLoop loop = EventLoop.start("blocked", 8)) {
            // given
            loop.execute(() -> await(release));
            long atNanos = clock.nanosAfter(Duration.ofMillis(200));
            // when
            HaltTimer.start(
                    clock,
                    atNanos,
                    () -> {
                        haltedNanos.set(clock.monotonicNanos());
                        halted.countDown();
                    });
            // then
            assertThat(halted.await(LIMIT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
            assertThat(haltedNanos.get() - atNanos).isNotNegative();
            release.countDown();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
