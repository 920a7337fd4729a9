package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.kernel.time.Clock;

/**
 * Tells the crash guard what happens to the attempts of one request.
 *
 * <p>Invariant: each attempt is reported as answered at most once; a lost connection is reported
 * for the server of the attempt that lost it, with the crashes that were known when that attempt
 * began. Thread safety: used on the event loop.
 */
final class CrashWatch {
    // A server that crashes on the answer to a request does so when it begins to write it.
    private static final Duration ANSWER_BEGIN = Duration.ofSeconds(1);

    private final CrashGuard mGuard;
    private final Clock mClock;
    private final RequestContents mContents;
    private final List<Runnable> mAfterChecks = new ArrayList<>();
    private int mChecksInProgress;
    private boolean mConnectionLost;

    CrashWatch(CrashGuard guard, Clock clock, RequestContents contents) {
        mGuard = guard;
        mClock = clock;
        mContents = contents;
    }

    /** Returns the name of a content for which the request must not be sent to a server. */
    Optional<String> findHeldBack() {
        return mGuard.findHeldBack(mContents).map(mContents::nameOf);
    }

    Attempt onAttemptStarted() {
        return new Attempt(mGuard.onAttemptStarted(mContents));
    }

    /** Returns true when a server may have crashed on the request. */
    boolean hasLostConnection() {
        return mConnectionLost;
    }

    /** Returns true when the request, or a part of it, may be what crashes servers. */
    boolean mayCrashServers() {
        return mConnectionLost || mGuard.isSuspect(mContents);
    }

    /** Runs a task once, when no check of a lost connection is in progress. */
    void afterChecks(Runnable task) {
        if (mChecksInProgress == 0) {
            task.run();
        } else {
            mAfterChecks.add(task);
        }
    }

    private void onChecked() {
        mChecksInProgress--;
        if (mChecksInProgress == 0) {
            List<Runnable> tasks = List.copyOf(mAfterChecks);
            mAfterChecks.clear();
            tasks.forEach(Runnable::run);
        }
    }

    /**
     * One attempt of the request.
     *
     * <p>Thread safety: used on the event loop.
     */
    final class Attempt {
        private final long mKnownCrashes;
        private int mEventsReceived;
        private long mFirstEventNanos;
        private boolean mAnswerReported;

        private Attempt(long knownCrashes) {
            mKnownCrashes = knownCrashes;
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

        /** Returns the number of events that the attempt has received. */
        int eventsReceived() {
            return mEventsReceived;
        }

        /** Returns true when a failure of the attempt may be the crash of its server. */
        boolean mayBeCrash(BackendFailure failure) {
            return failure.isConnectionLoss() && !isWellIntoAnswer();
        }

        /** Begins to find out whether the server crashed; see {@link #afterChecks}. */
        void onConnectionLost(PublishedBackend server) {
            mConnectionLost = true;
            mChecksInProgress++;
            mGuard.onConnectionLost(server, mContents, mKnownCrashes, CrashWatch.this::onChecked);
        }
    }
}
