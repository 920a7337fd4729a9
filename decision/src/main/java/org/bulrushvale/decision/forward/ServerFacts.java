package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * What this entry knows about one process of a backend server, apart from its registration: what
 * the process stated in its answers, with the age, and what this entry observed.
 *
 * <p>Invariants: a figure that is older than its lifetime counts as unknown; of several pauses the
 * one that ends last holds. Times are monotonic nanoseconds. Thread safety: not safe; used by the
 * event loop.
 */
public final class ServerFacts {
    /** How long a stated load is used. */
    public static final Duration LOAD_LIFETIME = Duration.ofMillis(500);

    /** How long a stated pace is used; it changes many times a second. */
    public static final Duration PACE_LIFETIME = Duration.ofMillis(300);

    /** A longer pause counts as this long. */
    public static final Duration MAX_PAUSE = Duration.ofHours(1);

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    // The time that each consecutive failure adds. By its end a crashed server has restarted or
    // the platform has removed it.
    private static final long SUSPECT_NANOS_PER_FAILURE = 2 * NANOS_PER_SECOND;

    // Older slowdowns are ignored, so that a server that has recovered is tried again.
    private static final long SLOWDOWN_EXPIRY_NANOS = 3 * NANOS_PER_SECOND;

    // Limits how long a server is avoided, to three times SUSPECT_NANOS_PER_FAILURE.
    private static final int MAX_COUNTED_FAILURES = 3;

    // Work counts as overdue from this multiple of its expected time.
    private static final double OVERDUE_RATIO = 2.0;
    private static final double PERCENT = 100.0;

    private long mSuspectUntilNanos;
    private long mPauseUntilNanos;
    private int mOutstanding;
    private long mOutstandingTokens;
    private int mConsecutiveFailures;
    private double mSlowdown = 1;
    private long mSlowdownAtNanos;
    private OptionalInt mRunning = OptionalInt.empty();
    private OptionalInt mWaiting = OptionalInt.empty();
    private OptionalInt mSlots = OptionalInt.empty();
    private Source mLoadSource = Source.NONE;
    private long mLoadAtNanos;
    private OptionalInt mPacePercent = OptionalInt.empty();
    private long mPaceAtNanos;
    private int mStartsSinceLoad;
    private final Map<Work, Boolean> mRunningWork = new IdentityHashMap<>();

    ServerFacts(long nowNanos) {
        mSuspectUntilNanos = nowNanos;
        mPauseUntilNanos = nowNanos;
    }

    /** Where a load figure comes from. */
    public enum Source {
        /** There is no figure. */
        NONE,
        /** An answer to a request or a stage call of this entry. */
        ANSWER,
        /** A load report that this entry asked for. */
        PROBE
    }

    /** Records the load that the process stated; figures that it left out stay as they are. */
    public void recordLoad(ServerLoad load, Source source, long nowNanos) {
        if (load.running().isPresent() || load.waiting().isPresent()) {
            mRunning = load.running();
            mWaiting = load.waiting();
            mSlots = load.slots();
            mLoadSource = source;
            mLoadAtNanos = nowNanos;
            mStartsSinceLoad = 0;
        }
        if (load.pacePercent().isPresent()) {
            mPacePercent = load.pacePercent();
            mPaceAtNanos = nowNanos;
        }
    }

    /**
     * Returns the requests that run or wait at the process, of all entries: the stated load and
     * what this entry started there since. Empty when no load was stated recently.
     */
    public OptionalInt load(long nowNanos) {
        if (!hasLoad(nowNanos)) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(mRunning.orElse(0) + mWaiting.orElse(0) + mStartsSinceLoad);
    }

    /** Returns the stated number of slots; empty when it was not stated recently. */
    public OptionalInt slots(long nowNanos) {
        return hasLoad(nowNanos) ? mSlots : OptionalInt.empty();
    }

    /** Returns true when the process stated recently that requests wait or all slots are taken. */
    public boolean isFull(long nowNanos) {
        int running = mRunning.orElse(0) + mStartsSinceLoad;
        return hasLoad(nowNanos)
                && (mWaiting.orElse(0) > 0 || running >= mSlots.orElse(Integer.MAX_VALUE));
    }

    private boolean hasLoad(long nowNanos) {
        return mLoadSource != Source.NONE && nowNanos - mLoadAtNanos <= LOAD_LIFETIME.toNanos();
    }

    /** Returns where the load comes from; {@link Source#NONE} when it is unknown. */
    public Source loadSource(long nowNanos) {
        return hasLoad(nowNanos) ? mLoadSource : Source.NONE;
    }

    /** Returns the age of the load in ms; empty when it is unknown. */
    public OptionalInt loadAgeMillis(long nowNanos) {
        return hasLoad(nowNanos)
                ? OptionalInt.of((int) Duration.ofNanos(nowNanos - mLoadAtNanos).toMillis())
                : OptionalInt.empty();
    }

    /** Returns the duration of work relative to the usual one; empty when it is unknown. */
    public OptionalDouble pace(long nowNanos) {
        boolean recent = nowNanos - mPaceAtNanos <= PACE_LIFETIME.toNanos();
        return mPacePercent.isPresent() && recent
                ? OptionalDouble.of(mPacePercent.getAsInt() / PERCENT)
                : OptionalDouble.empty();
    }

    /**
     * Records for how long the process wants no request from this VM.
     *
     * @param seconds stated time; NaN when the statement is not a number of seconds
     * @return the time that counts; zero when the statement means no pause
     */
    public Duration recordPause(double seconds, long nowNanos) {
        if (Double.isNaN(seconds) || seconds <= 0) {
            return Duration.ZERO;
        }
        double bounded = Math.min(seconds, MAX_PAUSE.toSeconds());
        Duration pause = Duration.ofNanos((long) (bounded * NANOS_PER_SECOND));
        if (nowNanos + pause.toNanos() - mPauseUntilNanos > 0) {
            mPauseUntilNanos = nowNanos + pause.toNanos();
        }
        return pause;
    }

    /** Returns true while the process wants no request from this VM. */
    public boolean isPaused(long nowNanos) {
        return mPauseUntilNanos - nowNanos > 0;
    }

    /** Returns the time at which the last pause ends or ended. */
    public long pauseUntilNanos() {
        return mPauseUntilNanos;
    }

    int outstanding() {
        return mOutstanding;
    }

    long outstandingTokens() {
        return mOutstandingTokens;
    }

    void recordStart(long tokens) {
        mOutstanding++;
        mOutstandingTokens += tokens;
        mStartsSinceLoad++;
    }

    void recordEnd(long tokens) {
        mOutstanding--;
        mOutstandingTokens -= tokens;
        mStartsSinceLoad = Math.max(0, mStartsSinceLoad - 1);
    }

    boolean isSuspect(long nowNanos) {
        return suspectNanosLeft(nowNanos) > 0;
    }

    long suspectNanosLeft(long nowNanos) {
        return mSuspectUntilNanos - nowNanos;
    }

    void recordSuccess() {
        mConsecutiveFailures = 0;
    }

    void recordFailure(long nowNanos) {
        mConsecutiveFailures = Math.min(mConsecutiveFailures + 1, MAX_COUNTED_FAILURES);
        mSuspectUntilNanos = nowNanos + mConsecutiveFailures * SUSPECT_NANOS_PER_FAILURE;
    }

    void avoidFor(long nowNanos, long nanos) {
        mSuspectUntilNanos = Math.max(mSuspectUntilNanos, nowNanos + nanos);
    }

    void recordSlowdown(double ratio, long nowNanos) {
        mSlowdown = (slowdown(nowNanos) + ratio) / 2;
        mSlowdownAtNanos = nowNanos;
    }

    double slowdown(long nowNanos) {
        return nowNanos - mSlowdownAtNanos > SLOWDOWN_EXPIRY_NANOS ? 1 : mSlowdown;
    }

    /**
     * Records that work with a known expected time starts at the process.
     *
     * @return the work, to be passed to {@link #recordWorkEnd}
     */
    public Work recordWorkStart(long expectedNanos, long nowNanos) {
        Work work = new Work(nowNanos, Math.max(1, expectedNanos));
        mRunningWork.put(work, true);
        mStartsSinceLoad++;
        return work;
    }

    /** Records that work ended, with or without an answer. */
    public void recordWorkEnd(Work work) {
        if (mRunningWork.remove(work) != null) {
            mStartsSinceLoad = Math.max(0, mStartsSinceLoad - 1);
        }
    }

    /** Returns true while work of this entry takes much longer there than expected. */
    public boolean isOverdue(long nowNanos) {
        for (Work work : mRunningWork.keySet()) {
            if (nowNanos - work.mStartedNanos > OVERDUE_RATIO * work.mExpectedNanos) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns how long new work is expected to take, less what its own size explains: the stated
     * pace, else the observed slowdown.
     */
    public double expectedRatio(long nowNanos) {
        return pace(nowNanos).orElse(slowdown(nowNanos));
    }

    /**
     * Returns the time until new work would be finished, behind the work of this entry that is in
     * progress there.
     *
     * @param workNanos usual time of the new work
     */
    public long expectedFinishNanos(long workNanos, long nowNanos) {
        double ratio = expectedRatio(nowNanos);
        double remaining = 0;
        for (Work work : mRunningWork.keySet()) {
            long elapsed = nowNanos - work.mStartedNanos;
            double left = work.mExpectedNanos * ratio - elapsed;
            // Work that is overdue is expected to take as long again as it did so far.
            remaining += left > 0 ? left : elapsed;
        }
        return (long) (remaining + workNanos * ratio);
    }

    /**
     * Work in progress at a process.
     *
     * <p>Thread safety: immutable.
     */
    public static final class Work {
        private final long mStartedNanos;
        private final long mExpectedNanos;

        private Work(long startedNanos, long expectedNanos) {
            mStartedNanos = startedNanos;
            mExpectedNanos = expectedNanos;
        }
    }
}
