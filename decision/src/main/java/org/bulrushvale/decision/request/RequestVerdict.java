package org.bulrushvale.decision.request;

import java.util.List;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Combines the verdicts of the stages into the verdict of a request.
 *
 * <p>Invariant: {@code NOT_RUN} only when no attempt of any stage may have run; {@code RAN} only
 * when all stages ran, or all stages that are not repeatable if there are any. Thread safety:
 * stateless.
 */
final class RequestVerdict {
    private RequestVerdict() {}

    static Verdict of(List<StageState> stages) {
        boolean noneRan = true;
        boolean allRan = true;
        boolean hasNonRepeatable = false;
        boolean allNonRepeatableRan = true;
        for (StageState stage : stages) {
            Verdict verdict = stage.verdict();
            if (!stage.openAttempts().isEmpty()) {
                verdict = verdict.combinedWith(Verdict.MAY_HAVE_RUN);
            }
            noneRan &= verdict == Verdict.NOT_RUN;
            allRan &= verdict == Verdict.RAN;
            if (!stage.stage().repeatable()) {
                hasNonRepeatable = true;
                allNonRepeatableRan &= verdict == Verdict.RAN;
            }
        }
        if (noneRan) {
            return Verdict.NOT_RUN;
        }
        return allRan || (hasNonRepeatable && allNonRepeatableRan)
                ? Verdict.RAN
                : Verdict.MAY_HAVE_RUN;
    }
}
