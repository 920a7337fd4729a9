package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.decision.forward.StageQueue;
import org.bulrushvale.decision.retry.DuplicatePolicy;
import org.bulrushvale.decision.retry.DuplicatePolicy.Decision;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Sends the pieces of a stage call to a second server when the call takes clearly longer than
 * expected.
 *
 * <p>The slow call goes on: only its response names the results that its server must release. Both
 * results of a piece have one name in the queue, so releasing one frees the reserved memory of
 * both; a server that is full then says so.
 *
 * <p>Invariant: a piece has at most one duplicate, which is charged to the limit and the repeat
 * budget before it is queued; it is withdrawn when no server can take it at once. Thread safety:
 * used on the event loop.
 */
final class StageDuplicator {
    private static final String KIND = "stage_call";

    // Ratio of actual to expected time from which a call, or its server, counts as slow.
    private static final int SLOW_RATIO = 2;
    private static final int RECHECKS_PER_CALL = 4;
    private static final Duration MIN_RECHECK_PERIOD = Duration.ofMillis(20);

    private final ForwardServices mServices;
    private final String mService;
    private final StageQueue<QueuedPiece> mQueue;
    private final Runnable mDispatch;
    private final Map<StageQueue.Call<QueuedPiece>, Watch> mWatches = new HashMap<>();

    /**
     * Creates the duplicator of one stage service.
     *
     * @param dispatch starts the calls that can start now
     */
    StageDuplicator(
            ForwardServices services,
            String service,
            StageQueue<QueuedPiece> queue,
            Runnable dispatch) {
        mServices = services;
        mService = service;
        mQueue = queue;
        mDispatch = dispatch;
    }

    private boolean isOn() {
        return mServices.duplicates().coversStage(mService);
    }

    /** Records a piece, from which the limit is derived. */
    void onPiece() {
        if (isOn()) {
            mServices.duplicates().policy().recordRequest(mService, 0);
        }
    }

    /** Begins to watch a call. */
    void onStart(StageQueue.Call<QueuedPiece> call, PieceLimits limits) {
        if (!isOn()) {
            return;
        }
        call.pieces().forEach(QueuedPiece::onStarted);
        Duration expected = limits.callTime(call.pieces().size());
        Watch watch = new Watch(call, limits, expected);
        mWatches.put(call, watch);
        watch.schedule(expected.multipliedBy(SLOW_RATIO));
    }

    /** Ends the watch of a call. */
    void onEnd(StageQueue.Call<QueuedPiece> call) {
        Watch watch = mWatches.remove(call);
        if (watch != null) {
            watch.cancel();
        }
    }

    /** Returns the servers with a free slot that are not known to be slow or about to fail. */
    private List<Server> freeServers(Server slow, PieceLimits limits) {
        long now = mServices.clock().monotonicNanos();
        return mServices.publishedState().directory().eligibleServers(mService).stream()
                .filter(server -> server != slow)
                .filter(server -> !server.isCold(now) && !server.isSuspect(now))
                .filter(server -> server.facts().expectedRatio(now) < SLOW_RATIO)
                .filter(server -> !server.facts().isOverdue(now))
                .filter(server -> runningCalls(server) < limits.slots())
                .toList();
    }

    /** Returns the ids of the servers that the queue might choose and a duplicate must not have. */
    private Set<String> unusableServers(Server slow, PieceLimits limits) {
        Set<String> unusable = new HashSet<>();
        unusable.add(slow.published().id());
        mServices
                .publishedState()
                .directory()
                .eligibleServers(mService)
                .forEach(server -> unusable.add(server.published().id()));
        freeServers(slow, limits).forEach(server -> unusable.remove(server.published().id()));
        return unusable;
    }

    private long runningCalls(Server server) {
        return mWatches.keySet().stream().filter(call -> call.server() == server).count();
    }

    /** Returns true when more than half of the servers have a slow call. */
    private boolean serviceIsSlow() {
        long slow = mWatches.values().stream().filter(Watch::isSlow).count();
        int servers = mServices.publishedState().directory().eligibleServers(mService).size();
        return 2 * slow > servers;
    }

    /**
     * One call in progress.
     *
     * <p>Thread safety: used on the event loop.
     */
    private final class Watch {
        private final StageQueue.Call<QueuedPiece> mCall;
        private final PieceLimits mLimits;
        private final Duration mExpected;
        private final long mStartedNanos = mServices.clock().monotonicNanos();
        private EventLoop.@Nullable ScheduledTask mCheck;
        private boolean mWithheld;

        Watch(StageQueue.Call<QueuedPiece> call, PieceLimits limits, Duration expected) {
            mCall = call;
            mLimits = limits;
            mExpected = expected;
        }

        private void schedule(Duration delay) {
            mCheck = mServices.loop().schedule(delay, this::check);
        }

        private void cancel() {
            EventLoop.ScheduledTask check = mCheck;
            if (check != null) {
                check.cancel();
            }
        }

        private Duration elapsed() {
            return mServices.clock().elapsedSince(mStartedNanos);
        }

        private boolean isSlow() {
            return elapsed().compareTo(mExpected.multipliedBy(SLOW_RATIO)) >= 0;
        }

        private void check() {
            if (!mWatches.containsKey(mCall)) {
                return;
            }
            List<QueuedPiece> pieces =
                    mCall.pieces().stream().filter(QueuedPiece::mayDuplicate).toList();
            if (pieces.isEmpty()) {
                return;
            }
            Decision decision = decide(pieces);
            if (decision == Decision.SEND) {
                send(pieces);
                return;
            }
            if (!mWithheld) {
                mWithheld = true;
                mServices.duplicates().withheld(decision);
            }
            Duration period = mExpected.dividedBy(RECHECKS_PER_CALL);
            schedule(period.compareTo(MIN_RECHECK_PERIOD) > 0 ? period : MIN_RECHECK_PERIOD);
        }

        private Decision decide(List<QueuedPiece> pieces) {
            DuplicatePolicy policy = mServices.duplicates().policy();
            long now = mServices.clock().monotonicNanos();
            long readyNanos = now + Clock.boundedNanos(mLimits.callTime(pieces.size()));
            if (pieces.stream().allMatch(piece -> piece.giveUpNanos() - readyNanos <= 0)) {
                return Decision.TOO_LATE;
            } else if (serviceIsSlow()) {
                return Decision.SERVICE_SLOW;
            } else if (mQueue.waitingCount() > 0) {
                return Decision.SERVICE_FULL;
            } else if (freeServers(mCall.server(), mLimits).isEmpty()) {
                return Decision.NO_SERVER;
            }
            return policy.take(mService, pieces.size(), 0);
        }

        private void send(List<QueuedPiece> pieces) {
            DuplicatedCall duplicate = new DuplicatedCall(mCall, mStartedNanos, pieces.size());
            String slowServer = mCall.server().published().id();
            Set<String> unusable = unusableServers(mCall.server(), mLimits);
            List<QueuedPiece> copies =
                    pieces.stream()
                            .map(piece -> piece.duplicate(unusable, duplicate::onPieceEnded))
                            .toList();
            mServices
                    .duplicates()
                    .sent(KIND)
                    .with("service", mService)
                    .with("slow_server", slowServer)
                    .with("pieces", pieces.size())
                    .with("ran_ms", elapsed().toMillis())
                    .with("expected_ms", mExpected.toMillis())
                    .write();
            // Admission refuses new groups only, and the group of a duplicate has started.
            copies.forEach(mQueue::addAgain);
            mDispatch.run();
            copies.forEach(QueuedPiece::withdrawUnlessStarted);
        }
    }

    /**
     * The pieces of a slow call that were sent to a second server.
     *
     * <p>Thread safety: used on the event loop.
     */
    private final class DuplicatedCall {
        private final StageQueue.Call<QueuedPiece> mSlowCall;
        private final long mSlowStartedNanos;
        private final long mSentNanos = mServices.clock().monotonicNanos();
        private int mOpen;
        private int mFirst;
        private int mLater;

        DuplicatedCall(StageQueue.Call<QueuedPiece> slowCall, long slowStartedNanos, int pieces) {
            mSlowCall = slowCall;
            mSlowStartedNanos = slowStartedNanos;
            mOpen = pieces;
        }

        private void onPieceEnded(QueuedPiece.DuplicateEnd end) {
            mOpen--;
            switch (end) {
                case FIRST -> mFirst++;
                case LATER -> mLater++;
                default -> {}
            }
            if (mOpen == 0) {
                log();
            }
        }

        private void log() {
            boolean won = mFirst > 0;
            Duplicates.Outcome outcome =
                    won
                            ? Duplicates.Outcome.WON
                            : mLater > 0 ? Duplicates.Outcome.LOST : Duplicates.Outcome.FAILED;
            long wastedFromNanos = won ? mSlowStartedNanos : mSentNanos;
            mServices
                    .duplicates()
                    .ended(
                            KIND,
                            outcome,
                            mServices.clock().elapsedSince(wastedFromNanos).toMillis(),
                            0)
                    .with("service", mService)
                    .with("slow_server", mSlowCall.server().published().id())
                    .with("pieces_first", mFirst)
                    .with("pieces_later", mLater)
                    .write();
        }
    }
}
