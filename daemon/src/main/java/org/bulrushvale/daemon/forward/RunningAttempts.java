package org.bulrushvale.daemon.forward;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The attempts of one request that are in progress.
 *
 * <p>Invariant: at most {@value #MAX_ATTEMPTS}, of which one may answer. Thread safety: used on the
 * event loop.
 */
final class RunningAttempts {
    static final int MAX_ATTEMPTS = 2;

    private final List<RunningAttempt> mAttempts = new ArrayList<>(MAX_ATTEMPTS);
    private @Nullable HeldAnswer mHeldAnswer;

    void add(RunningAttempt attempt) {
        if (mAttempts.size() == MAX_ATTEMPTS) {
            throw new IllegalStateException("two attempts are in progress");
        }
        mAttempts.add(attempt);
    }

    /** Removes an attempt that has ended. */
    void remove(RunningAttempt attempt) {
        mAttempts.remove(attempt);
    }

    boolean isEmpty() {
        return mAttempts.isEmpty();
    }

    /** Returns true when the attempt is the only one. */
    boolean isOnly(RunningAttempt attempt) {
        return mAttempts.size() == 1 && mAttempts.contains(attempt);
    }

    /** Cancels all attempts but {@code winner} and returns them. */
    List<RunningAttempt> cancelOthers(@Nullable RunningAttempt winner) {
        List<RunningAttempt> others =
                mAttempts.stream().filter(attempt -> attempt != winner).toList();
        mAttempts.removeAll(others);
        others.forEach(RunningAttempt::cancel);
        return others;
    }

    /** Keeps an error response of a server in case the other attempt has no better one. */
    void hold(ForwardAttempt.Head head, byte[] body) {
        mHeldAnswer = new HeldAnswer(head, body);
    }

    /** Returns the error response that was kept, or null. */
    @Nullable HeldAnswer heldAnswer() {
        return mHeldAnswer;
    }

    /**
     * A complete response.
     *
     * <p>Thread safety: immutable; the bytes are not changed.
     */
    record HeldAnswer(ForwardAttempt.Head head, byte[] body) {}
}
