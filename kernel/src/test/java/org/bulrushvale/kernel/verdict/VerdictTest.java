package org.bulrushvale.kernel.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Guards against a joint verdict that claims less than one of its attempts. */
public class VerdictTest {
    @Test
    public void joint_verdict_is_never_below_either_attempt() {
        for (Verdict a : Verdict.values()) {
            for (Verdict b : Verdict.values()) {
                assertThat(a.combinedWith(b)).isGreaterThanOrEqualTo(a).isGreaterThanOrEqualTo(b);
                assertThat(a.combinedWith(b)).isEqualTo(b.combinedWith(a));
            }
        }
    }

    @Test
    public void work_that_may_have_run_is_not_retried_blindly_when_not_idempotent() {
        // given
        BulrushvaleException error =
                new BulrushvaleException(ErrorCode.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, "reset");
        // then
        assertThat(error.advice(false)).isEqualTo(RetryAdvice.CHECK_BEFORE_RETRY);
        assertThat(error.advice(true)).isEqualTo(RetryAdvice.RETRY);
    }
}
