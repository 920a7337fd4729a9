package org.bulrushvale.decision.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.outcome.AttemptStateMachine.Event;
import org.bulrushvale.kernel.verdict.Verdict;
import org.testng.annotations.Test;

/** Guards against a request verdict below what one of its stages shows. */
public class RequestOutcomeTest {
    @Test
    public void verdict_follows_the_definition_for_every_combination_of_three_stages() {
        for (int kinds = 0; kinds < 8; kinds++) {
            for (int code = 0; code < 27; code++) {
                // given
                List<Stage> stages = new ArrayList<>();
                List<Verdict> verdicts = new ArrayList<>();
                for (int i = 0, rest = code; i < 3; i++, rest /= 3) {
                    stages.add(new Stage("s" + i, "pool", (kinds >> i & 1) == 0, false));
                    verdicts.add(Verdict.values()[rest % 3]);
                }
                RequestVerdictTracker outcome = RequestVerdictTracker.of(new Pipeline("p", stages));
                // when
                for (int i = 0; i < 3; i++) {
                    bring(outcome.newAttempt(i), verdicts.get(i));
                }
                // then
                assertThat(outcome.verdict()).isEqualTo(expected(stages, verdicts));
            }
        }
    }

    @Test
    public void a_lost_attempt_keeps_its_stage_above_not_run_when_the_next_one_is_refused() {
        RequestVerdictTracker outcome =
                RequestVerdictTracker.of(
                        new Pipeline("p", List.of(new Stage("s", "pool", true, false))));
        bring(outcome.newAttempt(0), Verdict.MAY_HAVE_RUN);
        bring(outcome.newAttempt(0), Verdict.NOT_RUN);
        assertThat(outcome.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    private static Verdict expected(List<Stage> stages, List<Verdict> verdicts) {
        if (verdicts.stream().allMatch(v -> v == Verdict.NOT_RUN)) {
            return Verdict.NOT_RUN;
        }
        List<Verdict> decisive = new ArrayList<>();
        for (int i = 0; i < stages.size(); i++) {
            if (!stages.get(i).repeatable()) {
                decisive.add(verdicts.get(i));
            }
        }
        List<Verdict> counted = decisive.isEmpty() ? verdicts : decisive;
        return counted.stream().allMatch(v -> v == Verdict.RAN)
                ? Verdict.RAN
                : Verdict.MAY_HAVE_RUN;
    }

    private static void bring(AttemptStateMachine trace, Verdict verdict) {
        trace.on(Event.FIRST_BYTE);
        trace.on(
                switch (verdict) {
                    case NOT_RUN -> Event.TYPED_REFUSAL;
                    case MAY_HAVE_RUN -> Event.RESET;
                    case RAN -> Event.COMPLETE_ANSWER;
                });
    }
}
