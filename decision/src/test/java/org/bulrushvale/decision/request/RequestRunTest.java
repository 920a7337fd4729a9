package org.bulrushvale.decision.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.kernel.id.RequestId;
import org.bulrushvale.kernel.time.ManualClock;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.testng.annotations.Test;

/**
 * Guards against stage results that are lost, mixed up or used twice, stages that run twice, and
 * requests that start although they cannot meet their deadline.
 */
public class RequestRunTest {
    private static final int SEEDS = 20_000;
    private static final int BROKEN_SEEDS = 1_000;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    public void random_interleavings_agree_with_a_sequential_model() {
        System.out.println("RequestRunTest: seeds 0.." + (SEEDS - 1));
        Map<DropKind, Long> drops = new EnumMap<>(DropKind.class);
        for (long seed = 0; seed < SEEDS; seed++) {
            RunSimulation simulation = new RunSimulation(seed, true);
            assertThat(simulation.violations()).as("seed %d", seed).isEmpty();
            for (DropKind kind : DropKind.values()) {
                drops.merge(kind, simulation.drops().count(kind), Long::sum);
            }
        }
        System.out.println("dropped results: " + drops);
        assertThat(drops.values()).as("every kind occurs").allMatch(count -> count > 1_000);
    }

    /** Guards against a simulation that finds no violation even when the run is broken. */
    @Test
    public void simulation_detects_a_run_that_does_not_check_attempts() {
        int detected = 0;
        for (long seed = 0; seed < BROKEN_SEEDS; seed++) {
            detected += new RunSimulation(seed, false).violations().isEmpty() ? 0 : 1;
        }
        System.out.printf("broken variant detected in %d of %d seeds%n", detected, BROKEN_SEEDS);
        assertThat(detected).isGreaterThan(BROKEN_SEEDS / 2);
    }

    @Test
    public void non_repeatable_stage_is_retried_only_when_proven_not_to_have_run() {
        for (Verdict verdict : Verdict.values()) {
            // given
            RequestRun run = run(new Stage("book", "seats", false, false));
            AttemptId first = startedAttempt(run.start("in"));
            // when
            List<RunDecision> next =
                    run.onFailure(first, verdict, ErrorCode.BACKEND_FAILED, "reset");
            // then
            if (verdict == Verdict.NOT_RUN) {
                assertThat(next.get(0)).isInstanceOf(RunDecision.StartAttempt.class);
            } else {
                assertThat(next)
                        .containsExactly(
                                new RunDecision.Fail(
                                        ErrorCode.BACKEND_FAILED, verdict, "reset", 0));
            }
        }
    }

    @Test
    public void cancelling_lets_a_non_repeatable_stage_that_was_sent_finish() {
        // given
        RequestRun run = run(new Stage("book", "seats", false, false));
        AttemptId first = startedAttempt(run.start("in"));
        // when
        List<RunDecision> onCancel = run.cancel(id -> Verdict.MAY_HAVE_RUN);
        List<RunDecision> onResult = run.onResult(new StageResult(first, true, "seat 4", 0));
        // then
        assertThat(onCancel).isEmpty();
        assertThat(onResult).hasSize(1).first().isInstanceOf(RunDecision.Deliver.class);
    }

    @Test
    public void resumed_stream_continues_where_the_failed_attempt_stopped() {
        // given
        RequestRun run = run(new Stage("generate", "models", true, true));
        AttemptId first = startedAttempt(run.start("in"));
        run.onText(first, 0, "thin ");
        // when
        RunDecision retry =
                run.onFailure(first, Verdict.MAY_HAVE_RUN, ErrorCode.BACKEND_FAILED, "x").get(0);
        AttemptId second = ((RunDecision.StartAttempt) retry).attempt();
        run.onText(second, 0, "thin ");
        run.onText(second, 1, "ice");
        // then
        assertThat(((RunDecision.StartAttempt) retry).resumeFrom()).isEqualTo(1);
        assertThat(((RunDecision.Deliver) run.onEnd(second, 2).get(0)).output())
                .isEqualTo("thin ice");
    }

    @Test
    public void attempt_id_is_parsed_back_from_its_text() {
        AttemptId id = new AttemptId(RequestId.random(new SplittableRandom(1)), 2, 3, -4);
        assertThat(AttemptId.parse(id.toString())).contains(id);
        assertThat(AttemptId.parse("x-1-2-3")).isEmpty();
    }

    @Test
    public void request_that_cannot_meet_its_deadline_is_refused_before_it_starts() {
        // given
        StageLatency latency = new StageLatency(mClock, Duration.ofSeconds(30));
        DeadlineBudget budget = new DeadlineBudget(latency);
        Pipeline pipeline = new Pipeline("p", List.of(new Stage("a", "x", true, false)));
        Duration left = Duration.ofMillis(50);
        assertThat(budget.decide("c", pipeline, 0, left))
                .isEqualTo(DeadlineBudget.DeadlineDecision.PROCEED);
        // when
        for (int i = 0; i < StageLatency.MIN_SAMPLES; i++) {
            latency.record("c", "a", Duration.ofMillis(100));
        }
        // then
        assertThat(budget.decide("c", pipeline, 0, left))
                .isEqualTo(DeadlineBudget.DeadlineDecision.REFUSE_EARLY);
        // and observations that are two windows old no longer count
        mClock.advance(Duration.ofSeconds(61));
        assertThat(budget.decide("c", pipeline, 0, left))
                .isEqualTo(DeadlineBudget.DeadlineDecision.PROCEED);
    }

    private RequestRun run(Stage stage) {
        return RequestRun.builder(
                        RequestId.random(new SplittableRandom(7)),
                        new Pipeline("p", List.of(stage)),
                        mClock)
                .random(new SplittableRandom(8))
                .repeatLimiter(any -> true)
                .build();
    }

    private static AttemptId startedAttempt(List<RunDecision> decisions) {
        return ((RunDecision.StartAttempt) decisions.get(0)).attempt();
    }
}
