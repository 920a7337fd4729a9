package org.bulrushvale.kernel.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against lost or reordered tasks, a loop that stops after a failed task, and an {@code
 * offer} that blocks or accepts a task when the ring buffer is full.
 */
public class EventLoopTest {
    private static final int TASKS = 1_000;

    @Test
    public void tasks_run_in_order_even_after_a_failure() throws InterruptedException {
        List<Integer> seen = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        try (EventLoop loop = EventLoop.start("test", 64)) {
            // given
            loop.execute(
                    () -> {
                        throw new IllegalStateException("expected by the test");
                    });
            // when
            for (int i = 0; i < TASKS; i++) {
                int value = i;
                loop.execute(() -> seen.add(value));
            }
            loop.execute(done::countDown);
            // then
            assertThat(done.await(10, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(seen).hasSize(TASKS).isSorted();
    }

    @DataProvider
    public Object[][] errors() {
        return new Object[][] {
            {new AssertionError("expected by the test")},
            {new StackOverflowError()},
            {new NoClassDefFoundError("expected by the test")},
        };
    }

    @Test(dataProvider = "errors")
    public void the_loop_goes_on_after_an_error(Error error) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        try (EventLoop loop = EventLoop.start("test", 64)) {
            // when
            loop.execute(
                    () -> {
                        throw error;
                    });
            loop.execute(done::countDown);
            // then
            assertThat(done.await(10, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    public void offer_returns_false_without_blocking_when_the_ring_buffer_is_full()
            throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (EventLoop loop = EventLoop.start("test", 2)) {
            // given
            loop.execute(
                    () -> {
                        blocked.countDown();
                        awaitLatch(release);
                    });
            assertThat(blocked.await(10, TimeUnit.SECONDS)).isTrue();
            // when
            boolean accepted = true;
            for (int i = 0; i < 3; i++) {
                accepted &= loop.offer(() -> {});
            }
            // then
            assertThat(accepted).isFalse();
            release.countDown();
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
