package org.bulrushvale.kernel.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/**
 * Guards against a combined verdict below that of one attempt, and against advice to retry work
 * that may have run.
 */
public class VerdictTest {
    @Test
    public void the_combined_verdict_is_never_below_that_of_either_attempt() {
        for (Verdict a : Verdict.values()) {
            for (Verdict b : Verdict.values()) {
                assertThat(a.combinedWith(b)).isGreaterThanOrEqualTo(a).isGreaterThanOrEqualTo(b);
                assertThat(a.combinedWith(b)).isEqualTo(b.combinedWith(a));
            }
        }
    }

    @Test
    public void non_idempotent_work_that_may_have_run_is_checked_before_a_retry() {
        // given
        BulrushvaleException error =
                new BulrushvaleException(ErrorCode.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, "reset");
        // then
        assertThat(error.advice(false)).isEqualTo(RetryAdvice.CHECK_BEFORE_RETRY);
        assertThat(error.advice(true)).isEqualTo(RetryAdvice.RETRY);
    }
}
