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
 * One attempt of a request at a backend server; passes the events of its I/O threads to the event
 * loop.
 *
 * <p>Invariant: once {@link #verdictAndForbidSending} has returned {@code NOT_RUN}, no byte of the
 * attempt is sent. Thread safety: the listener methods are called by I/O threads, the others by the
 * event loop.
 */
final class BackendAttempt implements AttemptListener {
    private final AttemptId mId;
    private final BackendServer mServer;
    private final String mEpoch;
    private final AttemptStateMachine mStateMachine;
    private final EventLoop mLoop;
    private final EventHandler mHandler;
    private final long mStartNanos;
    private final AtomicReference<SendState> mSendState = new AtomicReference<>(SendState.UNSENT);
    private BackendClient.@Nullable Attempt mClientAttempt;
    private boolean mReleased;

    BackendAttempt(
            AttemptId id,
            BackendServer server,
            String epoch,
            AttemptStateMachine stateMachine,
            EventLoop loop,
            EventHandler handler,
            long startNanos) {
        mId = id;
        mServer = server;
        mEpoch = epoch;
        mStateMachine = stateMachine;
        mLoop = loop;
        mHandler = handler;
        mStartNanos = startNanos;
    }

    /** Whether a byte was sent; decided once, by the I/O thread or by the event loop. */
    private enum SendState {
        UNSENT,
        SENT,
        SEND_FORBIDDEN
    }

    /**
     * Receives the events of attempts on the event loop.
     *
     * <p>Thread safety: owned by the event loop.
     */
    interface EventHandler {
        void onText(BackendAttempt attempt, long offset, String text);

        void onForeignAnswer(BackendAttempt attempt, String attemptId);

        void onCompleted(BackendAttempt attempt, String output, long tokens);

        void onStreamEnded(BackendAttempt attempt, long tokens);

        void onRefused(BackendAttempt attempt, int status);

        void onFailed(BackendAttempt attempt, BackendFailure failure, String detail);
    }

    AttemptId id() {
        return mId;
    }

    BackendServer server() {
        return mServer;
    }

    /** Returns the epoch that the server had when the attempt was sent. */
    String epoch() {
        return mEpoch;
    }

    AttemptStateMachine stateMachine() {
        return mStateMachine;
    }

    long startNanos() {
        return mStartNanos;
    }

    void setClientAttempt(BackendClient.Attempt clientAttempt) {
        mClientAttempt = clientAttempt;
    }

    /** Marks the slot of the server as released; returns true on the first call only. */
    boolean markReleased() {
        boolean first = !mReleased;
        mReleased = true;
        return first;
    }

    /** Returns the present verdict; if nothing was sent yet, forbids sending from now on. */
    Verdict verdictAndForbidSending() {
        if (!mSendState.compareAndSet(SendState.UNSENT, SendState.SEND_FORBIDDEN)
                && mSendState.get() == SendState.SENT) {
            // The FIRST_BYTE event may not have reached the event loop yet.
            if (mStateMachine.maySend()) {
                mStateMachine.on(AttemptStateMachine.Event.FIRST_BYTE);
            }
        }
        return mStateMachine.verdict();
    }

    /** Aborts the attempt; returns true when the server may have received it. */
    boolean abort() {
        Verdict verdict = verdictAndForbidSending();
        BackendClient.Attempt clientAttempt = mClientAttempt;
        if (clientAttempt != null) {
            clientAttempt.abort();
        }
        return !verdict.isSafeToRepeat();
    }

    @Override
    public void connecting() {
        post(stateMachine -> stateMachine.on(AttemptStateMachine.Event.CONNECT_STARTED));
    }

    @Override
    public boolean beforeSend() {
        if (!mSendState.compareAndSet(SendState.UNSENT, SendState.SENT)) {
            return false;
        }
        post(stateMachine -> stateMachine.on(AttemptStateMachine.Event.FIRST_BYTE));
        return true;
    }

    @Override
    public void text(long offset, String text) {
        post(stateMachine -> mHandler.onText(this, offset, text));
    }

    @Override
    public void foreignResponse(String attemptId) {
        post(stateMachine -> mHandler.onForeignAnswer(this, attemptId));
    }

    @Override
    public void completed(String output, long tokens) {
        post(
                stateMachine -> {
                    stateMachine.on(AttemptStateMachine.Event.COMPLETE_ANSWER);
                    mHandler.onCompleted(this, output, tokens);
                });
    }

    @Override
    public void streamEnded(long tokens) {
        post(
                stateMachine -> {
                    stateMachine.on(AttemptStateMachine.Event.COMPLETE_ANSWER);
                    mHandler.onStreamEnded(this, tokens);
                });
    }

    @Override
    public void refused(int status) {
        post(
                stateMachine -> {
                    stateMachine.on(AttemptStateMachine.Event.TYPED_REFUSAL);
                    mHandler.onRefused(this, status);
                });
    }

    @Override
    public void failed(BackendFailure failure, String detail) {
        post(
                stateMachine -> {
                    stateMachine.on(event(failure));
                    mHandler.onFailed(this, failure, detail);
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
        mLoop.execute(() -> task.accept(mStateMachine));
    }
}
