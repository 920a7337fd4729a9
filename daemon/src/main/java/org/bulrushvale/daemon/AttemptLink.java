package org.bulrushvale.daemon;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.bulrushvale.adapters.backend.AttemptListener;
import org.bulrushvale.adapters.backend.BackendClient;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.outcome.AttemptStateMachine;
import org.bulrushvale.decision.request.AttemptId;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Carries the events of one attempt from the I/O threads to the event loop.
 *
 * <p>Invariant: once {@link #verdictNow} has returned {@code NOT_RUN}, no byte of the attempt is
 * sent. Thread safety: the listener methods are called by I/O threads, the others by the event
 * loop.
 */
final class AttemptLink implements AttemptListener {
    private final AttemptId mId;
    private final BackendServer mServer;
    private final String mEpoch;
    private final AttemptStateMachine mTrace;
    private final EventLoop mLoop;
    private final Events mEvents;
    private final long mStartNanos;
    private final AtomicReference<Gate> mGate = new AtomicReference<>(Gate.OPEN);
    private BackendClient.@Nullable Attempt mAttempt;
    private boolean mReleased;

    AttemptLink(
            AttemptId id,
            BackendServer server,
            String epoch,
            AttemptStateMachine trace,
            EventLoop loop,
            Events events,
            long startNanos) {
        mId = id;
        mServer = server;
        mEpoch = epoch;
        mTrace = trace;
        mLoop = loop;
        mEvents = events;
        mStartNanos = startNanos;
    }

    private enum Gate {
        OPEN,
        SENT,
        SHUT
    }

    /**
     * Receives the events on the event loop.
     *
     * <p>Thread safety: owned by the event loop.
     */
    interface Events {
        void onText(AttemptLink link, long offset, String text);

        void onForeign(AttemptLink link, String attemptId);

        void onCompleted(AttemptLink link, String output, long tokens);

        void onStreamEnded(AttemptLink link, long tokens);

        void onRefused(AttemptLink link, int status);

        void onFailed(AttemptLink link, BackendFailure failure, String detail);
    }

    AttemptId id() {
        return mId;
    }

    BackendServer server() {
        return mServer;
    }

    /** Returns the epoch of the server when the attempt was sent. */
    String epoch() {
        return mEpoch;
    }

    AttemptStateMachine trace() {
        return mTrace;
    }

    long startNanos() {
        return mStartNanos;
    }

    void attach(BackendClient.Attempt attempt) {
        mAttempt = attempt;
    }

    /** Returns true the first time only. */
    boolean release() {
        boolean first = !mReleased;
        mReleased = true;
        return first;
    }

    /** Returns the verdict at this moment and forbids sending if nothing was sent yet. */
    Verdict verdictNow() {
        if (!mGate.compareAndSet(Gate.OPEN, Gate.SHUT) && mGate.get() == Gate.SENT) {
            // The event of the first byte may still be on its way to the event loop.
            if (mTrace.maySend()) {
                mTrace.on(AttemptStateMachine.Event.FIRST_BYTE);
            }
        }
        return mTrace.verdict();
    }

    /** Gives the attempt up; true when the server may know it. */
    boolean abort() {
        Verdict verdict = verdictNow();
        BackendClient.Attempt attempt = mAttempt;
        if (attempt != null) {
            attempt.abort();
        }
        return !verdict.isSafeToRepeat();
    }

    @Override
    public void connecting() {
        post(trace -> trace.on(AttemptStateMachine.Event.CONNECT_STARTED));
    }

    @Override
    public boolean beforeSend() {
        if (!mGate.compareAndSet(Gate.OPEN, Gate.SENT)) {
            return false;
        }
        post(trace -> trace.on(AttemptStateMachine.Event.FIRST_BYTE));
        return true;
    }

    @Override
    public void text(long offset, String text) {
        post(trace -> mEvents.onText(this, offset, text));
    }

    @Override
    public void foreignResponse(String attemptId) {
        post(trace -> mEvents.onForeign(this, attemptId));
    }

    @Override
    public void completed(String output, long tokens) {
        post(
                trace -> {
                    trace.on(AttemptStateMachine.Event.COMPLETE_ANSWER);
                    mEvents.onCompleted(this, output, tokens);
                });
    }

    @Override
    public void streamEnded(long tokens) {
        post(
                trace -> {
                    trace.on(AttemptStateMachine.Event.COMPLETE_ANSWER);
                    mEvents.onStreamEnded(this, tokens);
                });
    }

    @Override
    public void refused(int status) {
        post(
                trace -> {
                    trace.on(AttemptStateMachine.Event.TYPED_REFUSAL);
                    mEvents.onRefused(this, status);
                });
    }

    @Override
    public void failed(BackendFailure failure, String detail) {
        post(
                trace -> {
                    trace.on(event(failure));
                    mEvents.onFailed(this, failure, detail);
                });
    }

    private static AttemptStateMachine.Event event(BackendFailure failure) {
        return switch (failure) {
            case CONNECT -> AttemptStateMachine.Event.CONNECT_FAILED;
            case RESET, CUT -> AttemptStateMachine.Event.RESET;
            case SILENT -> AttemptStateMachine.Event.TIMEOUT;
            case ABORTED -> AttemptStateMachine.Event.CANCEL;
            case TRUNCATED, STATUS, TOO_LARGE, MALFORMED, FOREIGN ->
                    AttemptStateMachine.Event.BAD_ANSWER;
        };
    }

    private void post(Consumer<AttemptStateMachine> task) {
        mLoop.execute(() -> task.accept(mTrace));
    }
}
