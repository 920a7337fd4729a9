package org.bulrushvale.daemon.forward;

import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.EventSplitter;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of a request that is in progress at a server.
 *
 * <p>Invariant: the attempt ends once, and its server's outstanding count is corrected then; later
 * events are dropped. Thread safety: used on the event loop.
 */
final class RunningAttempt implements ForwardAttempt.Handler {
    private final ForwardServices mServices;
    private final Server mServer;
    private final ServerPlacement.SentAttempt mPlaced;
    private final CrashWatch.Attempt mCrashWatch;
    private final CallerRequestMetadata mRequestMetadata;
    private final Listener mListener;
    private final long mSentNanos;
    private final boolean mDuplicate;
    private final EventSplitter mSplitter = new EventSplitter();
    private UpstreamClient.@Nullable Call mCall;
    private ForwardAttempt.@Nullable Head mStreamHead;
    private boolean mEnded;

    RunningAttempt(
            ForwardServices services,
            Server server,
            ServerPlacement.SentAttempt placed,
            CrashWatch.Attempt crashWatch,
            CallerRequestMetadata metadata,
            boolean duplicate,
            Listener listener) {
        mServices = services;
        mServer = server;
        mPlaced = placed;
        mCrashWatch = crashWatch;
        mRequestMetadata = metadata;
        mDuplicate = duplicate;
        mListener = listener;
        mSentNanos = services.clock().monotonicNanos();
        server.recordStart(metadata.promptTokens());
        if (server.isCold(mSentNanos)) {
            services.coldLimit().recordSent(server);
        }
        services.statedLimits().limits().recordSent(server.published().processName());
    }

    /** Sets the call of the attempt, which {@link #cancel} closes. */
    void setCall(UpstreamClient.Call call) {
        mCall = call;
    }

    Server server() {
        return mServer;
    }

    CrashWatch.Attempt crashWatch() {
        return mCrashWatch;
    }

    /** Records that the server has given a complete good answer. */
    void recordGoodAnswer() {
        mPlaced.onFirstEvent();
        mCrashWatch.onAnswered();
    }

    long sentNanos() {
        return mSentNanos;
    }

    /** Returns true for an attempt that was sent while another one was in progress. */
    boolean isDuplicate() {
        return mDuplicate;
    }

    /** Returns the head of the event stream, or null while none has arrived. */
    ForwardAttempt.@Nullable Head streamHead() {
        return mStreamHead;
    }

    /** Closes the connection of the attempt; does nothing when it has ended. */
    void cancel() {
        if (!mEnded) {
            end();
            UpstreamClient.Call call = mCall;
            if (call != null) {
                call.cancel();
            }
        }
    }

    private void end() {
        mEnded = true;
        mServer.recordEnd(mRequestMetadata.promptTokens());
    }

    @Override
    public void onAnswer(ForwardAttempt.Head head, byte[] body) {
        if (!mEnded) {
            end();
            mServices.statedLimits().onAnswer(mServer.published(), head.metadata());
            mListener.onAnswer(this, head, body);
        }
    }

    @Override
    public void onStreamBegin(ForwardAttempt.Head head) {
        if (!mEnded) {
            mStreamHead = head;
            mServices.statedLimits().onAnswer(mServer.published(), head.metadata());
        }
    }

    @Override
    public void onStreamBytes(byte[] bytes) {
        if (mEnded) {
            return;
        }
        List<EventSplitter.Event> events = new ArrayList<>();
        for (EventSplitter.Event event : mSplitter.add(bytes)) {
            mCrashWatch.onEvent();
            mPlaced.onFirstEvent();
            events.add(event);
        }
        if (!events.isEmpty()) {
            mListener.onEvents(this, events);
        }
        if (mSplitter.isTooLong() && !mEnded) {
            cancel();
            fail(true, BackendFailure.MALFORMED, "stream has an event without an end");
        }
    }

    @Override
    public void onStreamEnd() {
        if (mEnded) {
            return;
        }
        end();
        if (mSplitter.isInsideEvent()) {
            fail(true, BackendFailure.TRUNCATED, "stream ended inside an event");
        } else {
            mListener.onStreamEnd(this);
        }
    }

    @Override
    public void onFailure(boolean sent, BackendFailure failure, String detail) {
        if (!mEnded) {
            end();
            fail(sent, failure, detail);
        }
    }

    /** Fails an attempt whose stream has ended without an event that the caller needs. */
    void failWithoutEvent() {
        fail(true, BackendFailure.TRUNCATED, "stream ended without a new event");
    }

    private void fail(boolean sent, BackendFailure failure, String detail) {
        mServices
                .log()
                .line("attempt_lost")
                .with("request", mRequestMetadata.id())
                .with("server", mServer.published().id())
                .with("sent", String.valueOf(sent))
                .with("head_received", String.valueOf(mStreamHead != null))
                .with("events_received", mCrashWatch.eventsReceived())
                .with("failure", failure.name())
                .with("detail", detail)
                .write();
        mListener.onFailure(this, sent, failure, detail);
    }

    /** Receives the events of the attempts of a request. */
    interface Listener {
        /** Called with a complete answer that is not a stream; the attempt has ended. */
        void onAnswer(RunningAttempt attempt, ForwardAttempt.Head head, byte[] body);

        /** Called with one or more complete events. */
        void onEvents(RunningAttempt attempt, List<EventSplitter.Event> events);

        /** Called when the event stream has ended after a complete event; the attempt has ended. */
        void onStreamEnd(RunningAttempt attempt);

        /**
         * Called when the attempt has failed.
         *
         * @param sent true when the server may have received the request
         */
        void onFailure(RunningAttempt attempt, boolean sent, BackendFailure failure, String detail);
    }
}
