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
import org.bulrushvale.standin.http.Call;
import org.bulrushvale.standin.http.EventStream;
import org.bulrushvale.standin.http.HttpEndpoint;
import org.bulrushvale.standin.http.Json;

/**
 * Runs stage calls in slots: calls join and leave a running batch at any time, higher priorities
 * first; the more calls run, the slower each one gets.
 *
 * <p>Invariant: at most {@code slots} calls run; a cold server whose load passes {@code bearable}
 * falls over at once. Thread safety: confined to the endpoint's thread.
 */
final class StageEngine {
    // A full batch takes half as long again per token as a single call.
    private static final double FULL_BATCH_SLOWDOWN = 0.5;
    private static final long NANOS_PER_PREFIX_CHAR = 20_000;

    private final StageOptions mOptions;
    private final HttpEndpoint mEndpoint;
    private final StageObserver mObserver;
    private final Clock mClock = Clock.system();
    private final SplittableRandom mRandom;
    private final PrefixCache mCache;
    private final LoadHistory mHistory = new LoadHistory();
    private final StageCounters mCounters = new StageCounters();
    private final Map<String, StageRun> mRuns = new HashMap<>();
    private final PriorityQueue<StageRun> mQueue =
            new PriorityQueue<>(
                    Comparator.comparingInt(StageRun::priority)
                            .reversed()
                            .thenComparingLong(StageRun::sequence));
    private FaultSettings mFaults = FaultSettings.none();
    private long mEpoch;
    private long mSequence;
    private int mRunning;
    private int mCompletionsUntilWarm;
    private String mPreviousAttempt = "none";

    StageEngine(StageOptions options, HttpEndpoint endpoint, StageObserver observer) {
        mOptions = options;
        mEndpoint = endpoint;
        mObserver = observer;
        mRandom = new SplittableRandom(options.seed());
        mCache = new PrefixCache(options.cacheBytes(), mRandom.split());
        mEpoch = mClock.now().toEpochMilli();
        mCompletionsUntilWarm = options.coldCompletions();
        sample();
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

    /** Makes the running server cold without a restart. */
    void turnCold() {
        mCompletionsUntilWarm = Math.max(1, mOptions.coldCompletions());
        sample();
    }

    void submit(StageCall call, Call http) {
        mCounters.mCalls++;
        int load = mRunning + mQueue.size() + 1;
        if (chance(mFaults.refuseFraction())) {
            refuse(http, 503, "refused by fault setting");
            return;
        }
        if (!isWarm()) {
            mCounters.mPeakColdLoad = Math.max(mCounters.mPeakColdLoad, load);
            if (load > mOptions.bearable()) {
                mCounters.mBearableViolations++;
                fallOver();
                return;
            }
        }
        if (mRunning >= mOptions.slots() && mQueue.size() >= mOptions.queueLimit()) {
            refuse(http, 429, "queue is full");
            return;
        }
        mCounters.mPeakLoad = Math.max(mCounters.mPeakLoad, load);
        StageOutput output = StageOutput.of(call.requestId(), call.stage(), call.input());
        int tokens = mObserver.tokens(call, mOptions.defaultTokens());
        StageRun run = new StageRun(call, http, output, ++mSequence, tokens);
        if (mRuns.put(call.attemptId(), run) != null) {
            mCounters.mDuplicateAttempts++;
        }
        mQueue.add(run);
        admit();
        sample();
    }

    private void refuse(Call http, int status, String reason) {
        mCounters.mRefused++;
        http.refuse(status, reason);
    }

    private boolean chance(double fraction) {
        return fraction > 0 && mRandom.nextDouble() < fraction;
    }

    private void admit() {
        while (mRunning < mOptions.slots() && !mQueue.isEmpty()) {
            start(mQueue.remove());
        }
    }

    private void start(StageRun run) {
        mCounters.mStarted++;
        mObserver.started(run.mCall);
        String poison = mFaults.poison();
        if (!poison.isEmpty() && run.mCall.input().contains(poison)) {
            mCounters.mPoisonCrashes++;
            fallOver();
            return;
        }
        mRunning++;
        run.mRunning = true;
        run.mStartedNanos = mClock.monotonicNanos();
        mCounters.mPeakRunning = Math.max(mCounters.mPeakRunning, mRunning);
        Duration delay = mOptions.baseTime().plusMillis(mFaults.delayMs());
        if (mCache.use(run.mCall.prefix(), run.mStartedNanos, mFaults)) {
            mCounters.mCacheHits++;
        } else {
            delay = delay.plusNanos(run.mCall.prefix().length() * NANOS_PER_PREFIX_CHAR);
        }
        if (chance(mFaults.straggleFraction())) {
            delay = delay.plusMillis(mFaults.straggleMs());
        }
        if (run.mCall.stream()) {
            run.mStream = run.mHttp.stream(() -> mEndpoint.execute(() -> abandon(run)));
            mEndpoint.schedule(delay, () -> step(run));
        } else {
            Duration whole = delay.plus(tokenTime().multipliedBy(run.mTokens));
            mEndpoint.schedule(whole, () -> complete(run));
        }
    }

    private Duration tokenTime() {
        double batch = (double) Math.max(0, mRunning - 1) / mOptions.slots();
        return Duration.ofNanos(
                (long) (mOptions.tokenTime().toNanos() * (1 + FULL_BATCH_SLOWDOWN * batch)));
    }

    private void step(StageRun run) {
        EventStream stream = run.mStream;
        if (run.mDone || stream == null) {
            return;
        }
        boolean cutHere = run.mNext >= run.mTokens / 2;
        if (mFaults.truncate() != FaultSettings.Truncation.NONE && cutHere) {
            finish(run);
            if (mFaults.truncate() == FaultSettings.Truncation.CUT) {
                stream.cut();
            } else {
                stream.end();
            }
            return;
        }
        if (run.mNext < run.mTokens) {
            ObjectNode event =
                    Json.object()
                            .put("attempt_id", answeredAttempt(run))
                            .put("offset", run.mNext)
                            .put("text", run.mOutput.token(run.mNext));
            stream.send(event);
            if (mFaults.attemptIds() == FaultSettings.AttemptIds.DUPLICATE) {
                stream.send(event);
            }
            run.mNext++;
            mEndpoint.schedule(tokenTime(), () -> step(run));
            return;
        }
        if (chance(mFaults.errorFraction()) || chance(mFaults.dropFraction())) {
            mCounters.mErrors++;
            finish(run);
            stream.cut();
            return;
        }
        finish(run);
        stream.send(
                "end",
                Json.object().put("attempt_id", answeredAttempt(run)).put("tokens", run.mTokens));
        stream.end();
    }

    private String answeredAttempt(StageRun run) {
        return mFaults.attemptIds() == FaultSettings.AttemptIds.FOREIGN
                ? "foreign-" + run.mSequence
                : run.mCall.attemptId();
    }

    private void complete(StageRun run) {
        if (run.mDone) {
            return;
        }
        finish(run);
        if (chance(mFaults.dropFraction())) {
            mCounters.mErrors++;
            run.mHttp.drop();
            return;
        }
        if (chance(mFaults.errorFraction())) {
            mCounters.mErrors++;
            run.mHttp.respond(
                    mFaults.errorStatus(), Json.object().put("error", "failed by fault setting"));
            return;
        }
        String attempt = answeredAttempt(run);
        if (mFaults.attemptIds() == FaultSettings.AttemptIds.DUPLICATE) {
            attempt = mPreviousAttempt;
        }
        mPreviousAttempt = run.mCall.attemptId();
        long elapsed = mClock.elapsedSince(run.mStartedNanos).toMillis();
        boolean whole = mFaults.truncate() != FaultSettings.Truncation.CLEAN;
        ObjectNode answer =
                Json.object()
                        .put("attempt_id", attempt)
                        .put("complete", whole)
                        .put("output", run.mOutput.text(0, whole ? run.mTokens : run.mTokens / 2))
                        .put("tokens", run.mTokens)
                        .put("service_ms", elapsed);
        if (mFaults.truncate() == FaultSettings.Truncation.CUT) {
            run.mHttp.respondCut(200, answer);
        } else {
            run.mHttp.respond(200, answer);
        }
    }

    private void finish(StageRun run) {
        mCounters.mCompleted++;
        if (mCompletionsUntilWarm > 0) {
            mCompletionsUntilWarm--;
        }
        release(run);
    }

    private void release(StageRun run) {
        run.mDone = true;
        mRuns.remove(run.mCall.attemptId(), run);
        if (run.mRunning) {
            run.mRunning = false;
            mRunning--;
        } else {
            mQueue.remove(run);
        }
        admit();
        sample();
    }

    private void abandon(StageRun run) {
        if (!run.mDone && mObserver.isCancellable()) {
            mCounters.mAbandoned++;
            release(run);
        }
    }

    /** Cancels an attempt; returns false when it is unknown or may not be cancelled. */
    boolean cancel(String attemptId) {
        StageRun run = mRuns.get(attemptId);
        if (run == null || (run.mRunning && !mObserver.isCancellable())) {
            return false;
        }
        mCounters.mCancelled++;
        release(run);
        EventStream stream = run.mStream;
        if (stream == null) {
            run.mHttp.respond(409, Json.object().put("error", "cancelled"));
        } else {
            stream.cut();
        }
        return true;
    }

    /** Ends like a crashed process and comes back cold with a new epoch. */
    void fallOver() {
        mCounters.mFalls++;
        List<StageRun> lost = new ArrayList<>(mRuns.values());
        lost.forEach(run -> run.mDone = true);
        mRuns.clear();
        mQueue.clear();
        mRunning = 0;
        mCache.clear();
        mHistory.clear();
        mEpoch = Math.max(mEpoch + 1, mClock.now().toEpochMilli());
        mCompletionsUntilWarm = mOptions.coldCompletions();
        sample();
        mEndpoint.restartAfter(Duration.ofMillis(mFaults.restartMs()));
    }

    private void sample() {
        LoadHistory.Sample sample =
                new LoadHistory.Sample(mClock.monotonicNanos(), isWarm(), mRunning, mQueue.size());
        mHistory.add(sample, lagNanos());
    }

    private long lagNanos() {
        return mFaults.loadLagMs() * 1_000_000;
    }

    ObjectNode load() {
        LoadHistory.Sample past = mHistory.report(mClock.monotonicNanos(), lagNanos());
        return Json.object()
                .put("server", mOptions.name())
                .put("epoch", mEpoch)
                .put("state", past.warm() ? "warm" : "cold")
                .put("slots", mOptions.slots())
                .put("bearable", mOptions.bearable())
                .put("running", past.running())
                .put("queued", past.queued())
                .put("age_ms", mFaults.loadLagMs());
    }

    ObjectNode cacheEvents(long after) {
        return mCache.events(after, mClock.monotonicNanos());
    }

    ObjectNode stats() {
        return mCounters
                .toJson()
                .put("server", mOptions.name())
                .put("epoch", mEpoch)
                .put("state", isWarm() ? "warm" : "cold")
                .put("running", mRunning)
                .put("queued", mQueue.size())
                .put("cache_bytes", mCache.bytes());
    }
}
