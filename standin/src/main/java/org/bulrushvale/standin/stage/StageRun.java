package org.bulrushvale.standin.stage;

import org.bulrushvale.standin.http.Call;
import org.bulrushvale.standin.http.EventStream;
import org.jspecify.annotations.Nullable;

/**
 * One accepted stage call on its way through queue and slot.
 *
 * <p>Invariant: {@code mDone} is set once; nothing is sent after that. Thread safety: confined to
 * the endpoint's thread.
 */
final class StageRun {
    final StageCall mCall;
    final Call mHttp;
    final StageOutput mOutput;
    final long mSequence;
    final int mTokens;
    int mNext;
    long mStartedNanos;
    boolean mRunning;
    boolean mDone;
    @Nullable EventStream mStream;

    StageRun(StageCall call, Call http, StageOutput output, long sequence, int tokens) {
        mCall = call;
        mHttp = http;
        mOutput = output;
        mSequence = sequence;
        mTokens = tokens;
        mNext = Math.min(call.resumeFrom(), tokens);
    }

    int priority() {
        return mCall.priority();
    }

    long sequence() {
        return mSequence;
    }
}
