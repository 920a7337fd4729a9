package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.Optional;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.kernel.time.Clock;

/**
 * Tells the crash guard what happens to the attempts of one request.
 *
 * <p>Invariant: each attempt is reported as answered at most once. Thread safety: used on the event
 * loop.
 */
final class CrashWatch {
    // A server that crashes on the answer to a request does so when it begins to write it.
    private static final Duration ANSWER_BEGIN = Duration.ofSeconds(1);

    private final CrashGuard mGuard;
    private final Clock mClock;
    private final RequestContents mContents;
    private int mEventsReceived;
    private long mFirstEventNanos;
    private long mKnownCrashes;
    private boolean mConnectionLost;
    private boolean mAnswerReported;

    CrashWatch(CrashGuard guard, Clock clock, RequestContents contents) {
        mGuard = guard;
        mClock = clock;
        mContents = contents;
    }

    /** Returns the name of a content for which the request must not be sent to a server. */
    Optional<String> findHeldBack() {
        return mGuard.findHeldBack(mContents).map(mContents::nameOf);
    }

    void onAttemptStarted() {
        mEventsReceived = 0;
        mAnswerReported = false;
        mKnownCrashes = mGuard.onAttemptStarted(mContents);
    }

    /** Records that an event of the answer has arrived. */
    void onEvent() {
        if (mEventsReceived == 0) {
            mFirstEventNanos = mClock.monotonicNanos();
        }
        mEventsReceived++;
        if (isWellIntoAnswer()) {
            onAnswered();
        }
    }

    /** Records that the server has written an answer without a crash. */
    void onAnswered() {
        if (!mAnswerReported) {
            mAnswerReported = true;
            mGuard.onAnswered(mContents);
        }
    }

    private boolean isWellIntoAnswer() {
        return mEventsReceived > 0
                && mClock.elapsedSince(mFirstEventNanos).compareTo(ANSWER_BEGIN) >= 0;
    }

    /** Returns the number of events that the present attempt has received. */
    int eventsReceived() {
        return mEventsReceived;
    }

    /** Returns true when a server may have crashed on the request. */
    boolean hasLostConnection() {
        return mConnectionLost;
    }

    /** Returns true when a failure of an attempt that was sent may be the crash of its server. */
    boolean mayBeCrash(BackendFailure failure) {
        return failure.isConnectionLoss() && !isWellIntoAnswer();
    }

    /** Finds out whether the server crashed, then runs {@code continuation} once. */
    void onConnectionLost(PublishedBackend server, Runnable continuation) {
        mConnectionLost = true;
        mGuard.onConnectionLost(server, mContents, mKnownCrashes, continuation);
    }
}
