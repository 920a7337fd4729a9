package org.bulrushvale.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.bulrushvale.kernel.time.ManualClock;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.testng.annotations.Test;

/**
 * Guards against a queue that starves classes below their target, lets one workspace take the share
 * of another, or spends capacity on requests that can no longer meet their deadline.
 */
public class AdmissionQueueTest {
    static final int CAPACITY = 512;
    private static final Duration WORK = Duration.ofMillis(10);

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    public void worth_gained_is_not_less_than_with_fifo_on_the_same_trace() {
        for (double load : new double[] {0.4, 0.7, 1.0, 1.4}) {
            for (long seed = 1; seed <= 3; seed++) {
                Map<String, Double> fifo =
                        new QueueSimulation(
                                        seed,
                                        load,
                                        (clock, belowTarget) -> new FifoQueue<>(CAPACITY))
                                .run();
                Map<String, Double> policy =
                        new QueueSimulation(seed, load, QueueSimulation::admissionQueue).run();
                System.out.printf(
                        "seed %d load %.1f%n  fifo   %s%n  policy %s%n",
                        seed, load, QueueSimulation.format(fifo), QueueSimulation.format(policy));
                assertThat(policy.get("worth")).isGreaterThanOrEqualTo(fifo.get("worth"));
            }
        }
    }

    @Test
    public void class_below_target_is_served_first_even_with_more_slack() {
        AdmissionQueue<String> queue = queue("late"::equals, 10);
        queue.offer(request("urgent", "met", 1, "w", 1, 100));
        queue.offer(request("waiting", "late", 1, "w", 1, 900));
        assertThat(pollAll(queue)).containsExactly("waiting", "urgent");
    }

    @Test
    public void least_slack_is_served_first_among_classes_that_meet_their_target() {
        AdmissionQueue<String> queue = queue(any -> false, 10);
        queue.offer(request("later", "c", 1, "w", 1, 900));
        queue.offer(request("sooner", "c", 1, "w", 1, 100));
        assertThat(pollAll(queue)).containsExactly("sooner", "later");
    }

    @Test
    public void lowest_worth_is_refused_first_and_classes_below_target_last() {
        // given
        AdmissionQueue<String> queue = queue("late"::equals, 2);
        queue.offer(request("low-worth-below", "late", 1, "w", 1, 900));
        queue.offer(request("met", "met", 3, "w", 1, 900));
        // when
        List<RefusedRequest<String>> first =
                queue.offer(request("high-worth", "met", 5, "w", 1, 900));
        List<RefusedRequest<String>> second =
                queue.offer(request("high-worth-below", "late", 9, "w", 1, 900));
        List<RefusedRequest<String>> third =
                queue.offer(request("other-high-worth-below", "late", 9, "w", 1, 900));
        // then
        assertThat(payloads(first)).containsExactly("met");
        assertThat(payloads(second)).containsExactly("high-worth");
        assertThat(payloads(third)).containsExactly("low-worth-below");
    }

    @Test
    public void request_that_cannot_finish_by_its_deadline_is_refused_before_it_runs() {
        // given
        AdmissionQueue<String> queue = queue(any -> false, 10);
        assertThat(queue.offer(request("too-late", "c", 1, "w", 1, 5)))
                .extracting(RefusedRequest::code)
                .containsExactly(ErrorCode.DEADLINE_UNREACHABLE);
        queue.offer(request("waited", "c", 1, "w", 1, 100));
        // when
        mClock.advance(Duration.ofMillis(95));
        List<RefusedRequest<String>> refused = new ArrayList<>();
        // then
        assertThat(queue.poll(refused::add)).isEmpty();
        assertThat(payloads(refused)).containsExactly("waited");
    }

    @Test
    public void workspace_that_floods_the_queue_gets_no_more_than_its_share() {
        // given
        AdmissionQueue<String> queue = queue(any -> false, 400);
        for (int i = 0; i < 150; i++) {
            queue.offer(request("a", "c", 1, "a", 1, 100_000));
            queue.offer(request("a", "c", 1, "a", 1, 100_000));
            queue.offer(request("b", "c", 1, "b", 3, 200_000));
            mClock.advance(Duration.ofNanos(1));
        }
        // when
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 80; i++) {
            served.merge(queue.poll(any -> {}).orElseThrow().payload(), 1, Integer::sum);
        }
        // then
        assertThat(served.get("a")).isBetween(19, 21);
    }

    private AdmissionQueue<String> queue(Predicate<String> belowTarget, int capacity) {
        return new AdmissionQueue<>(mClock, capacity, belowTarget, () -> 4);
    }

    private QueuedRequest<String> request(
            String name, String workClass, double worth, String workspace, double share, long ms) {
        long deadline = mClock.monotonicNanos() + Duration.ofMillis(ms).toNanos();
        return new QueuedRequest<>(name, workClass, worth, workspace, share, deadline, WORK);
    }

    private static List<String> pollAll(AdmissionQueue<String> queue) {
        List<String> order = new ArrayList<>();
        for (int i = queue.size(); i > 0; i--) {
            order.add(queue.poll(any -> {}).orElseThrow().payload());
        }
        return order;
    }

    private static List<String> payloads(List<RefusedRequest<String>> refused) {
        return refused.stream().map(refusal -> refusal.request().payload()).toList();
    }
}
