package org.bulrushvale.decision.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * The attempts of one stage of one request.
 *
 * <p>Invariant: an attempt that was closed never becomes open again; a closed attempt has a
 * verdict. Thread safety: not safe; owned by the event loop.
 */
final class StageState {
    private final Stage mStage;
    private final Map<AttemptId, Phase> mAttempts = new LinkedHashMap<>();
    private Verdict mVerdict = Verdict.NOT_RUN;
    private long mStartNanos;

    StageState(Stage stage) {
        mStage = stage;
    }

    Stage stage() {
        return mStage;
    }

    void open(AttemptId attempt, long nowNanos) {
        if (mAttempts.isEmpty()) {
            mStartNanos = nowNanos;
        }
        mAttempts.put(attempt, Phase.OPEN);
    }

    boolean isOpen(AttemptId attempt) {
        return mAttempts.get(attempt) == Phase.OPEN;
    }

    boolean isIssued(AttemptId attempt) {
        return mAttempts.containsKey(attempt);
    }

    boolean isAccepted(AttemptId attempt) {
        return mAttempts.get(attempt) == Phase.ACCEPTED;
    }

    int attempts() {
        return mAttempts.size();
    }

    long startNanos() {
        return mStartNanos;
    }

    Verdict verdict() {
        return mVerdict;
    }

    List<AttemptId> issuedAttempts() {
        return List.copyOf(mAttempts.keySet());
    }

    List<AttemptId> openAttempts() {
        List<AttemptId> open = new ArrayList<>();
        mAttempts.forEach(
                (id, phase) -> {
                    if (phase == Phase.OPEN) {
                        open.add(id);
                    }
                });
        return open;
    }

    void accept(AttemptId attempt) {
        mAttempts.put(attempt, Phase.ACCEPTED);
        mVerdict = mVerdict.combinedWith(Verdict.RAN);
    }

    void close(AttemptId attempt, Verdict verdict) {
        mAttempts.put(attempt, Phase.CLOSED);
        mVerdict = mVerdict.combinedWith(verdict);
    }

    /** Closes all open attempts with the given verdicts and returns these attempts. */
    List<AttemptId> closeAll(Function<AttemptId, Verdict> verdicts) {
        List<AttemptId> open = openAttempts();
        open.forEach(id -> close(id, verdicts.apply(id)));
        return open;
    }

    /** Returns true when the stage is repeatable or is proven not to have run. */
    boolean mayRepeat() {
        return mStage.repeatable() || (openAttempts().isEmpty() && mVerdict.isSafeToRepeat());
    }

    private enum Phase {
        OPEN,
        CLOSED,
        ACCEPTED
    }
}
