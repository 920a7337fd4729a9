package org.bulrushvale.decision.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.outcome.AttemptStateMachine.Event;
import org.bulrushvale.kernel.verdict.Verdict;
import org.testng.annotations.Test;

/** Guards against a request verdict that is lower than the attempts of its stages imply. */
public class RequestVerdictTrackerTest {
    @Test
    public void verdict_follows_the_definition_for_every_combination_of_three_stages() {
        for (int nonRepeatableBits = 0; nonRepeatableBits < 8; nonRepeatableBits++) {
            for (int verdictDigits = 0; verdictDigits < 27; verdictDigits++) {
                // given
                List<Stage> stages = new ArrayList<>();
                List<Verdict> verdicts = new ArrayList<>();
                for (int i = 0, digits = verdictDigits; i < 3; i++, digits /= 3) {
                    stages.add(
                            new Stage("s" + i, "pool", (nonRepeatableBits >> i & 1) == 0, false));
                    verdicts.add(Verdict.values()[digits % 3]);
                }
                RequestVerdictTracker tracker = RequestVerdictTracker.of(new Pipeline("p", stages));
                // when
                for (int i = 0; i < 3; i++) {
                    applyEventsFor(tracker.newAttempt(i), verdicts.get(i));
                }
                // then
                assertThat(tracker.verdict()).isEqualTo(expected(stages, verdicts));
            }
        }
    }

    @Test
    public void lost_attempt_is_not_hidden_by_a_refusal_of_the_next_attempt_of_its_stage() {
        RequestVerdictTracker tracker =
                RequestVerdictTracker.of(
                        new Pipeline("p", List.of(new Stage("s", "pool", true, false))));
        applyEventsFor(tracker.newAttempt(0), Verdict.MAY_HAVE_RUN);
        applyEventsFor(tracker.newAttempt(0), Verdict.NOT_RUN);
        assertThat(tracker.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
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

    private static void applyEventsFor(AttemptStateMachine attempt, Verdict verdict) {
        attempt.on(Event.FIRST_BYTE);
        attempt.on(
                switch (verdict) {
                    case NOT_RUN -> Event.TYPED_REFUSAL;
                    case MAY_HAVE_RUN -> Event.RESET;
                    case RAN -> Event.COMPLETE_ANSWER;
                });
    }
}
