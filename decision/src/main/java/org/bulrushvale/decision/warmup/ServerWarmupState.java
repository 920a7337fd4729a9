package org.bulrushvale.decision.warmup;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What this entry knows about the warm-up of one backend server.
 *
 * <p>Invariant: a usable report was measured after the connection that it was read on was opened.
 * Thread safety: single-writer, used by the event loop only.
 */
final class ServerWarmupState {
    /** Epochs kept per server. Announcements about older epochs arrive late, if at all. */
    private static final int MAX_EPOCHS = 4;

    private static final int COLD_AFTER_FAILURES = 3;

    final ConcurrencyRamp mRamp = new ConcurrencyRamp();
    final LatencyJumpDetector mLatencyJumps = new LatencyJumpDetector();
    private final Map<String, WarmthAnnouncement> mAnnouncements = new LinkedHashMap<>();
    private final Deque<Long> mAbandonedUntilNanos = new ArrayDeque<>();
    private @Nullable ReportedLoad mReport;
    private long mReportMeasuredAtNanos;
    private long mMinMeasuredAtNanos = Long.MIN_VALUE;
    private String mEpoch = "";
    private int mPublishedSlots;
    private int mPublishedColdConcurrency;
    private int mConnectionGeneration;
    private int mOutstandingAttempts;
    private int mConsecutiveFailures;

    void updatePublishedLimits(int slots, int coldConcurrency) {
        mPublishedSlots = slots;
        mPublishedColdConcurrency = coldConcurrency;
    }

    int publishedSlots() {
        return mPublishedSlots;
    }

    /**
     * Records that a connection was opened, and rejects reports measured before now from now on;
     * returns the generation of the connection.
     */
    int connectionOpened(long nowNanos) {
        mMinMeasuredAtNanos = nowNanos;
        return mConnectionGeneration;
    }

    String epoch() {
        return mEpoch;
    }

    int outstandingAttempts() {
        return mOutstandingAttempts;
    }

    /** Returns the last accepted report, or null when it is too old to permit sending. */
    @Nullable ReportedLoad usableReport(long maxAgeNanos, long nowNanos) {
        return mReport != null && nowNanos - mReportMeasuredAtNanos <= maxAgeNanos ? mReport : null;
    }

    /**
     * Accepts a report unless it was read on an earlier connection or is older than what is known.
     * Returns true when it shows that the server has restarted since an earlier accepted report.
     */
    boolean onLoadReport(ReportedLoad report, int generation, long measuredAtNanos) {
        boolean old = mReport != null && measuredAtNanos <= mReportMeasuredAtNanos;
        if (generation != mConnectionGeneration || measuredAtNanos < mMinMeasuredAtNanos || old) {
            return false;
        }
        mReport = report;
        mReportMeasuredAtNanos = measuredAtNanos;
        if (report.epoch().equals(mEpoch)) {
            return false;
        }
        boolean restarted = !mEpoch.isEmpty();
        mEpoch = report.epoch();
        mAbandonedUntilNanos.clear();
        restartRamp();
        return restarted;
    }

    void connectionClosed(long nowNanos) {
        mConnectionGeneration++;
        requireNewReport(nowNanos);
    }

    /** Discards the report; only one measured from now on permits sending again. */
    void requireNewReport(long nowNanos) {
        mReport = null;
        mMinMeasuredAtNanos = nowNanos;
    }

    void restartRamp() {
        mRamp.restart();
        mLatencyJumps.reset();
        mConsecutiveFailures = 0;
    }

    void onAttemptStarted() {
        mOutstandingAttempts++;
    }

    /**
     * Records the end of an attempt; returns true after {@value #COLD_AFTER_FAILURES} failures in a
     * row.
     */
    boolean onAttemptEnded(AttemptOutcome end, long abandonedUntilNanos) {
        mOutstandingAttempts = Math.max(0, mOutstandingAttempts - 1);
        if (end.mayStillRun()) {
            mAbandonedUntilNanos.addLast(abandonedUntilNanos);
        }
        if (end == AttemptOutcome.COMPLETED) {
            mConsecutiveFailures = 0;
            mRamp.completed();
        } else if (end.isFailure()) {
            mConsecutiveFailures++;
        }
        return mConsecutiveFailures >= COLD_AFTER_FAILURES;
    }

    /**
     * Returns the number of attempts that this entry no longer waits for but that may still run.
     */
    int abandonedAttempts(long nowNanos) {
        while (!mAbandonedUntilNanos.isEmpty() && nowNanos - mAbandonedUntilNanos.getFirst() >= 0) {
            mAbandonedUntilNanos.removeFirst();
        }
        return mAbandonedUntilNanos.size();
    }

    int slots(ReportedLoad report) {
        return minOfKnown(mPublishedSlots, report.slots());
    }

    int coldConcurrency(ReportedLoad report) {
        return Math.min(
                slots(report), minOfKnown(mPublishedColdConcurrency, report.coldConcurrency()));
    }

    /** Returns the smaller of the known limits, and 1 when neither is known; 0 means unknown. */
    private static int minOfKnown(int published, int reported) {
        if (published <= 0 || reported <= 0) {
            return Math.max(1, Math.max(published, reported));
        }
        return Math.min(published, reported);
    }

    @Nullable WarmthAnnouncement announcement(String epoch) {
        return mAnnouncements.get(epoch);
    }

    boolean isAnnouncedWarm() {
        WarmthAnnouncement known = mAnnouncements.get(mEpoch);
        return known != null && known.warm();
    }

    Collection<WarmthAnnouncement> announcements() {
        return mAnnouncements.values();
    }

    /** Stores the announcement if it supersedes the known one; returns false otherwise. */
    boolean merge(WarmthAnnouncement announcement) {
        WarmthAnnouncement known = mAnnouncements.get(announcement.epoch());
        if (known != null && !announcement.supersedes(known)) {
            return false;
        }
        mAnnouncements.put(announcement.epoch(), announcement);
        if (mAnnouncements.size() > MAX_EPOCHS) {
            mAnnouncements.keySet().stream()
                    .filter(epoch -> !epoch.equals(mEpoch))
                    .findFirst()
                    .ifPresent(mAnnouncements::remove);
        }
        return true;
    }
}
