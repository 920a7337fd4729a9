package org.bulrushvale.standin.stage;

import org.bulrushvale.standin.http.EventStream;
import org.bulrushvale.standin.http.IncomingCall;
import org.jspecify.annotations.Nullable;

/**
 * The state of one accepted stage call while it is queued or running.
 *
 * <p>Invariant: {@code mDone} is set once; scheduled steps of the run do nothing after that. Thread
 * safety: confined to the endpoint's thread.
 */
final class StageRun {
    final StageCall mCall;
    final IncomingCall mIncoming;
    final StageOutput mOutput;
    final long mSequence;
    final int mTokenCount;
    int mNextToken;
    long mStartedNanos;
    boolean mRunning;
    boolean mDone;
    @Nullable EventStream mStream;

    StageRun(
            StageCall call,
            IncomingCall incoming,
            StageOutput output,
            long sequence,
            int tokenCount) {
        mCall = call;
        mIncoming = incoming;
        mOutput = output;
        mSequence = sequence;
        mTokenCount = tokenCount;
        mNextToken = Math.min(call.resumeFrom(), tokenCount);
    }

    int priority() {
        return mCall.priority();
    }

    long sequence() {
        return mSequence;
    }
}
