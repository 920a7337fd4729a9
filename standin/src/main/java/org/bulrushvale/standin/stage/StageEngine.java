package org.bulrushvale.standin.stage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.standin.http.EventStream;
import org.bulrushvale.standin.http.HttpEndpoint;
import org.bulrushvale.standin.http.IncomingCall;
import org.bulrushvale.standin.http.Json;

/**
 * Simulates a server with continuous batching: a call runs in a slot and joins or leaves the batch
 * at any time. Queued calls with a higher priority start first. The more calls run, the slower each
 * one gets.
 *
 * <p>Invariant: at most {@code slots} calls run; a cold server whose load (running and queued
 * calls) exceeds {@code bearable} crashes at once. Thread safety: confined to the endpoint's
 * thread.
 */
final class StageEngine {
    // In a full batch each token takes about 50 % longer than in a single call.
    private static final double FULL_BATCH_SLOWDOWN = 0.5;
    // Added to the service time for each character of a prefix that is not in the cache.
    private static final long NANOS_PER_PREFIX_CHAR = 20_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final StageOptions mOptions;
    private final HttpEndpoint mEndpoint;
    private final StageHooks mHooks;
    private final Clock mClock = Clock.system();
    private final SplittableRandom mRandom;
    private final PrefixCache mCache;
    private final LoadHistory mLoadHistory = new LoadHistory();
    private final StageCounters mCounters = new StageCounters();
    private final Map<String, StageRun> mRunsByAttemptId = new HashMap<>();
    private final PriorityQueue<StageRun> mQueue =
            new PriorityQueue<>(
                    Comparator.comparingInt(StageRun::priority)
                            .reversed()
                            .thenComparingLong(StageRun::sequence));
    private FaultSettings mFaults = FaultSettings.none();
    // Identifies one run of the simulated process; increases with each crash.
    private long mEpoch;
    private long mSequence;
    private int mRunningCount;
    private int mCompletionsUntilWarm;
    private String mPreviousAttemptId = "none";

    StageEngine(StageOptions options, HttpEndpoint endpoint, StageHooks hooks) {
        mOptions = options;
        mEndpoint = endpoint;
        mHooks = hooks;
        mRandom = new SplittableRandom(options.seed());
        mCache = new PrefixCache(options.cacheBytes(), mRandom.split());
        mEpoch = mClock.now().toEpochMilli();
        mCompletionsUntilWarm = options.coldCompletions();
        recordLoad();
    }

    FaultSettings faults() {
        return mFaults;
    }

    void faults(FaultSettings faults) {
        mFaults = faults;
        mEndpoint.silence(faults.silence());
    }

    boolean isWarm() {
        return mCompletionsUntilWarm == 0;
    }

    /** Makes the server cold without a restart, for at least one completed call. */
    void makeCold() {
        mCompletionsUntilWarm = Math.max(1, mOptions.coldCompletions());
        recordLoad();
    }

    void submit(StageCall call, IncomingCall incoming) {
        mCounters.mCalls++;
        int load = mRunningCount + mQueue.size() + 1;
        if (occursWithProbability(mFaults.refuseFraction())) {
            refuse(call, incoming, 503, "refused by fault setting");
            return;
        }
        if (!isWarm()) {
            mCounters.mPeakColdLoad = Math.max(mCounters.mPeakColdLoad, load);
            if (load > mOptions.bearable()) {
                mCounters.mBearableViolations++;
                crashAndRestart();
                return;
            }
        }
        if (mRunningCount >= mOptions.slots() && mQueue.size() >= mOptions.queueLimit()) {
            refuse(call, incoming, 429, "queue is full");
            return;
        }
        mCounters.mPeakLoad = Math.max(mCounters.mPeakLoad, load);
        StageOutput output = StageOutput.of(call.requestId(), call.stage(), call.input());
        int tokenCount = mHooks.tokenCount(call, mOptions.defaultTokens());
        StageRun run = new StageRun(call, incoming, output, ++mSequence, tokenCount);
        if (mRunsByAttemptId.put(call.attemptId(), run) != null) {
            mCounters.mDuplicateAttempts++;
        }
        mQueue.add(run);
        startQueuedRuns();
        recordLoad();
    }

    private void refuse(StageCall call, IncomingCall incoming, int status, String reason) {
        mCounters.mRefused++;
        incoming.refuse(status, errorJson(call, reason));
    }

    private static ObjectNode errorJson(StageCall call, String reason) {
        return Json.object().put("attempt_id", call.attemptId()).put("error", reason);
    }

    private boolean occursWithProbability(double fraction) {
        return fraction > 0 && mRandom.nextDouble() < fraction;
    }

    private void startQueuedRuns() {
        while (mRunningCount < mOptions.slots() && !mQueue.isEmpty()) {
            startRun(mQueue.remove());
        }
    }

    private void startRun(StageRun run) {
        mCounters.mStarted++;
        mHooks.onCallStarted(run.mCall);
        String poison = mFaults.poison();
        if (!poison.isEmpty() && run.mCall.input().contains(poison)) {
            mCounters.mPoisonCrashes++;
            crashAndRestart();
            return;
        }
        mRunningCount++;
        run.mRunning = true;
        run.mStartedNanos = mClock.monotonicNanos();
        mCounters.mPeakRunning = Math.max(mCounters.mPeakRunning, mRunningCount);
        Duration delay = mOptions.baseTime().plusMillis(mFaults.delayMs());
        if (mCache.lookUpOrStore(run.mCall.prefix(), run.mStartedNanos, mFaults)) {
            mCounters.mCacheHits++;
        } else {
            delay = delay.plusNanos(run.mCall.prefix().length() * NANOS_PER_PREFIX_CHAR);
        }
        if (occursWithProbability(mFaults.straggleFraction())) {
            delay = delay.plusMillis(mFaults.straggleMs());
        }
        if (run.mCall.stream()) {
            run.mStream =
                    run.mIncoming.startEventStream(() -> mEndpoint.execute(() -> abandon(run)));
            mEndpoint.schedule(delay, () -> sendNextToken(run));
        } else {
            Duration serviceTime = delay.plus(tokenTime().multipliedBy(run.mTokenCount));
            mEndpoint.schedule(serviceTime, () -> sendAnswer(run));
        }
    }

    private Duration tokenTime() {
        double batchFill = (double) Math.max(0, mRunningCount - 1) / mOptions.slots();
        return Duration.ofNanos(
                (long) (mOptions.tokenTime().toNanos() * (1 + FULL_BATCH_SLOWDOWN * batchFill)));
    }

    private void sendNextToken(StageRun run) {
        EventStream stream = run.mStream;
        if (run.mDone || stream == null) {
            return;
        }
        boolean halfSent = run.mNextToken >= run.mTokenCount / 2;
        if (mFaults.truncate() != FaultSettings.Truncation.NONE && halfSent) {
            finish(run);
            if (mFaults.truncate() == FaultSettings.Truncation.CUT) {
                stream.cut();
            } else {
                stream.end();
            }
            return;
        }
        if (run.mNextToken < run.mTokenCount) {
            ObjectNode event =
                    Json.object()
                            .put("attempt_id", reportedAttemptId(run))
                            .put("offset", run.mNextToken)
                            .put("text", run.mOutput.token(run.mNextToken));
            stream.send(event);
            if (mFaults.attemptIds() == FaultSettings.AttemptIds.DUPLICATE) {
                stream.send(event);
            }
            run.mNextToken++;
            mEndpoint.schedule(tokenTime(), () -> sendNextToken(run));
            return;
        }
        if (occursWithProbability(mFaults.errorFraction())
                || occursWithProbability(mFaults.dropFraction())) {
            mCounters.mErrors++;
            finish(run);
            stream.cut();
            return;
        }
        finish(run);
        stream.send(
                "end",
                Json.object()
                        .put("attempt_id", reportedAttemptId(run))
                        .put("tokens", run.mTokenCount));
        stream.end();
    }

    private String reportedAttemptId(StageRun run) {
        return mFaults.attemptIds() == FaultSettings.AttemptIds.FOREIGN
                ? "foreign-" + run.mSequence
                : run.mCall.attemptId();
    }

    private void sendAnswer(StageRun run) {
        if (run.mDone) {
            return;
        }
        finish(run);
        if (occursWithProbability(mFaults.dropFraction())) {
            mCounters.mErrors++;
            run.mIncoming.drop();
            return;
        }
        if (occursWithProbability(mFaults.errorFraction())) {
            mCounters.mErrors++;
            run.mIncoming.respond(
                    mFaults.errorStatus(), errorJson(run.mCall, "failed by fault setting"));
            return;
        }
        String attemptId = reportedAttemptId(run);
        if (mFaults.attemptIds() == FaultSettings.AttemptIds.DUPLICATE) {
            attemptId = mPreviousAttemptId;
        }
        mPreviousAttemptId = run.mCall.attemptId();
        long elapsedMs = mClock.elapsedSince(run.mStartedNanos).toMillis();
        boolean isComplete = mFaults.truncate() != FaultSettings.Truncation.CLEAN;
        ObjectNode answer =
                Json.object()
                        .put("attempt_id", attemptId)
                        .put("complete", isComplete)
                        .put(
                                "output",
                                run.mOutput.text(
                                        0, isComplete ? run.mTokenCount : run.mTokenCount / 2))
                        .put("tokens", run.mTokenCount)
                        .put("service_ms", elapsedMs);
        if (mFaults.truncate() == FaultSettings.Truncation.CUT) {
            run.mIncoming.respondCutInHalf(200, answer);
        } else {
            run.mIncoming.respond(200, answer);
        }
    }

    /** Counts a run as completed, also when a fault spoils its answer, and frees its slot. */
    private void finish(StageRun run) {
        mCounters.mCompleted++;
        if (mCompletionsUntilWarm > 0) {
            mCompletionsUntilWarm--;
        }
        release(run);
    }

    /** Removes a run from its slot or from the queue. */
    private void release(StageRun run) {
        run.mDone = true;
        mRunsByAttemptId.remove(run.mCall.attemptId(), run);
        if (run.mRunning) {
            run.mRunning = false;
            mRunningCount--;
        } else {
            mQueue.remove(run);
        }
        startQueuedRuns();
        recordLoad();
    }

    /** Stops a run whose caller has disconnected. */
    private void abandon(StageRun run) {
        if (!run.mDone && mHooks.isCancellable()) {
            mCounters.mAbandoned++;
            release(run);
        }
    }

    /** Cancels an attempt; returns false when it is unknown or may not be cancelled. */
    boolean cancel(String attemptId) {
        StageRun run = mRunsByAttemptId.get(attemptId);
        if (run == null || (run.mRunning && !mHooks.isCancellable())) {
            return false;
        }
        mCounters.mCancelled++;
        release(run);
        EventStream stream = run.mStream;
        if (stream == null) {
            run.mIncoming.respond(409, errorJson(run.mCall, "cancelled"));
        } else {
            stream.cut();
        }
        return true;
    }

    /**
     * Simulates the crash of the process: drops all calls and connections, then restarts with a new
     * epoch, cold if the options say so.
     */
    void crashAndRestart() {
        mCounters.mCrashes++;
        List<StageRun> lost = new ArrayList<>(mRunsByAttemptId.values());
        lost.forEach(run -> run.mDone = true);
        mRunsByAttemptId.clear();
        mQueue.clear();
        mRunningCount = 0;
        mCache.clear();
        mLoadHistory.clear();
        mEpoch = Math.max(mEpoch + 1, mClock.now().toEpochMilli());
        mCompletionsUntilWarm = mOptions.coldCompletions();
        recordLoad();
        mEndpoint.restartAfter(Duration.ofMillis(mFaults.restartMs()));
    }

    private void recordLoad() {
        LoadHistory.Sample sample =
                new LoadHistory.Sample(
                        mClock.monotonicNanos(), isWarm(), mRunningCount, mQueue.size());
        mLoadHistory.add(sample, lagNanos());
    }

    private long lagNanos() {
        return mFaults.loadLagMs() * NANOS_PER_MILLI;
    }

    ObjectNode loadJson() {
        LoadHistory.Sample reported =
                mLoadHistory.delayedSample(mClock.monotonicNanos(), lagNanos());
        ObjectNode json = Json.object();
        if (mFaults.requestsPerSecond() > 0) {
            json.put("requests_per_s", mFaults.requestsPerSecond());
        }
        return json.put("server", mOptions.name())
                .put("epoch", mEpoch)
                .put("state", reported.warm() ? "warm" : "cold")
                .put("slots", mOptions.slots())
                .put("bearable", mOptions.bearable())
                .put("running", reported.running())
                .put("queued", reported.queued())
                .put("age_ms", mFaults.loadLagMs());
    }

    ObjectNode cacheEventsJson(long after) {
        return mCache.events(after, mClock.monotonicNanos());
    }

    ObjectNode statsJson() {
        return mCounters
                .toJson()
                .put("server", mOptions.name())
                .put("epoch", mEpoch)
                .put("state", isWarm() ? "warm" : "cold")
                .put("running", mRunningCount)
                .put("queued", mQueue.size())
                .put("unanswered", mEndpoint.unansweredCalls())
                .put("cache_bytes", mCache.usedBytes());
    }
}
