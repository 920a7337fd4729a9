package org.bulrushvale.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.request.RequestRun;
import org.bulrushvale.decision.request.RunDecision;
import org.bulrushvale.decision.request.RunDecision.AttemptKind;
import org.bulrushvale.decision.request.StageLatency;
import org.bulrushvale.kernel.id.RequestId;
import org.bulrushvale.kernel.time.ManualClock;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.testng.annotations.Test;

/** Guards against a retry storm: failures whose retries and hedges multiply the load. */
public class RetryBudgetTest {
    private static final int REQUESTS = 2_000;
    private static final Stage STAGE = new Stage("rerank", "rerankers", true, false);

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    public void failure_of_all_attempts_of_a_stage_adds_at_most_a_tenth_of_load() {
        RetryBudget budget = new RetryBudget();
        SplittableRandom random = new SplittableRandom(11);
        int first = 0;
        int repeats = 0;
        for (int i = 0; i < REQUESTS; i++) {
            // given a request whose attempts all fail, some of them after a hedge
            RequestRun run =
                    RequestRun.builder(
                                    RequestId.random(random),
                                    new Pipeline("p", List.of(STAGE)),
                                    mClock)
                            .repeatLimiter(budget)
                            .random(random)
                            .build();
            Deque<RunDecision> pending = new ArrayDeque<>(run.start("in"));
            while (!pending.isEmpty()) {
                if (pending.poll() instanceof RunDecision.StartAttempt start) {
                    if (start.kind() == AttemptKind.FIRST) {
                        first++;
                        budget.onFirstAttempt(start.stage());
                    } else {
                        repeats++;
                    }
                    if (random.nextBoolean()) {
                        pending.addAll(run.startHedge());
                    }
                    pending.addAll(
                            run.onFailure(
                                    start.attempt(),
                                    Verdict.MAY_HAVE_RUN,
                                    ErrorCode.BACKEND_FAILED,
                                    "down"));
                }
            }
        }
        // then
        System.out.printf("seed 11: %d repeats for %d first attempts%n", repeats, first);
        assertThat(first).isEqualTo(REQUESTS);
        assertThat(repeats).isPositive().isLessThanOrEqualTo(REQUESTS / 10);
    }

    @Test
    public void time_without_failures_does_not_accumulate_a_burst_of_retries() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < REQUESTS; i++) {
            budget.onFirstAttempt(STAGE);
        }
        assertThat(budget.available(STAGE)).isEqualTo(RetryBudget.MAX_TOKENS);
    }

    @Test
    public void hedge_needs_a_slow_attempt_of_a_repeatable_stage_and_a_token_beyond_the_reserve() {
        // given
        RetryBudget budget = new RetryBudget();
        StageLatency latency = new StageLatency(mClock, Duration.ofSeconds(30));
        HedgePolicy policy = new HedgePolicy(latency, budget);
        Stage notRepeatable = new Stage("rerank", "rerankers", false, false);
        Duration slow = Duration.ofMillis(200);
        for (int i = 0; i < REQUESTS; i++) {
            budget.onFirstAttempt(STAGE);
        }
        assertThat(policy.shouldHedge("c", STAGE, slow)).as("no observations").isFalse();
        for (int i = 1; i <= 100; i++) {
            latency.record("c", "rerank", Duration.ofMillis(i));
        }
        // then
        assertThat(policy.shouldHedge("c", STAGE, Duration.ofMillis(90))).isFalse();
        assertThat(policy.shouldHedge("c", STAGE, Duration.ofMillis(97))).isTrue();
        assertThat(policy.shouldHedge("c", notRepeatable, slow)).isFalse();
        // when only the reserved tokens are left
        while (budget.available(STAGE) > HedgePolicy.RESERVED_TOKENS) {
            budget.tryAcquire(STAGE);
        }
        assertThat(policy.shouldHedge("c", STAGE, slow)).isFalse();
    }
}
