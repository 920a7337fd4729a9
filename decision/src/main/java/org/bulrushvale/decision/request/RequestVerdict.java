package org.bulrushvale.decision.request;

import java.util.List;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Joins the verdicts of the stages into the verdict of a request.
 *
 * <p>Invariant: {@code NOT_RUN} only when no attempt of any stage may have run. Thread safety:
 * stateless.
 */
final class RequestVerdict {
    private RequestVerdict() {}

    static Verdict of(List<StageState> stages) {
        boolean nothing = true;
        boolean all = true;
        boolean anyOnce = false;
        boolean allOnce = true;
        for (StageState stage : stages) {
            Verdict verdict = stage.verdict();
            if (!stage.openAttempts().isEmpty()) {
                verdict = verdict.combinedWith(Verdict.MAY_HAVE_RUN);
            }
            nothing &= verdict == Verdict.NOT_RUN;
            all &= verdict == Verdict.RAN;
            if (!stage.stage().repeatable()) {
                anyOnce = true;
                allOnce &= verdict == Verdict.RAN;
            }
        }
        if (nothing) {
            return Verdict.NOT_RUN;
        }
        return all || (anyOnce && allOnce) ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
    }
}
