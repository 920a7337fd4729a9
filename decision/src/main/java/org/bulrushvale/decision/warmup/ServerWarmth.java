package org.bulrushvale.decision.warmup;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One entry's knowledge of one server's warmth.
 *
 * <p>Invariant: a usable report was measured after the connection that it was read on was opened.
 * Thread safety: single-writer, used by the event loop only.
 */
final class ServerWarmth {
    /** Epochs remembered per server; announcements about older ones arrive late or never. */
    private static final int MAX_EPOCHS = 4;

    private static final int FAILURES_IN_A_ROW = 3;

    final ConcurrencyRamp mRamp = new ConcurrencyRamp();
    final LatencyJump mLatency = new LatencyJump();
    private final Map<String, WarmthAnnouncement> mAnnouncements = new LinkedHashMap<>();
    private final Deque<Long> mOrphansUntil = new ArrayDeque<>();
    private @Nullable ReportedLoad mReport;
    private long mReportNanos;
    private long mNotBeforeNanos = Long.MIN_VALUE;
    private String mEpoch = "";
    private int mPublishedSlots;
    private int mPublishedBearable;
    private int mGeneration;
    private int mOutstanding;
    private int mFailures;

    void published(int slots, int bearable) {
        mPublishedSlots = slots;
        mPublishedBearable = bearable;
    }

    int publishedSlots() {
        return mPublishedSlots;
    }

    int connectionOpened(long nowNanos) {
        mNotBeforeNanos = nowNanos;
        return mGeneration;
    }

    String epoch() {
        return mEpoch;
    }

    int outstanding() {
        return mOutstanding;
    }

    /** Returns the report when it is recent enough to permit sending. */
    @Nullable ReportedLoad usableReport(long maxAgeNanos, long nowNanos) {
        return mReport != null && nowNanos - mReportNanos <= maxAgeNanos ? mReport : null;
    }

    /** Takes a report; returns true when it shows that a known server has restarted. */
    boolean report(ReportedLoad report, int generation, long measuredAtNanos) {
        boolean old = mReport != null && measuredAtNanos <= mReportNanos;
        if (generation != mGeneration || measuredAtNanos < mNotBeforeNanos || old) {
            return false;
        }
        mReport = report;
        mReportNanos = measuredAtNanos;
        if (report.epoch().equals(mEpoch)) {
            return false;
        }
        boolean restarted = !mEpoch.isEmpty();
        mEpoch = report.epoch();
        mOrphansUntil.clear();
        restartRamp();
        return restarted;
    }

    void connectionClosed(long nowNanos) {
        mGeneration++;
        requireNewReport(nowNanos);
    }

    void requireNewReport(long nowNanos) {
        mReport = null;
        mNotBeforeNanos = nowNanos;
    }

    void restartRamp() {
        mRamp.restart();
        mLatency.reset();
        mFailures = 0;
    }

    void started() {
        mOutstanding++;
    }

    /** Records the end of an attempt; returns true after three failures in a row. */
    boolean finished(AttemptOutcome end, long orphanUntilNanos) {
        mOutstanding = Math.max(0, mOutstanding - 1);
        if (end.mayStillRun()) {
            mOrphansUntil.addLast(orphanUntilNanos);
        }
        if (end == AttemptOutcome.COMPLETED) {
            mFailures = 0;
            mRamp.completed();
        } else if (end.isFailure()) {
            mFailures++;
        }
        return mFailures >= FAILURES_IN_A_ROW;
    }

    /** Returns how many attempts that this entry no longer waits for may still run. */
    int orphans(long nowNanos) {
        while (!mOrphansUntil.isEmpty() && nowNanos - mOrphansUntil.getFirst() >= 0) {
            mOrphansUntil.removeFirst();
        }
        return mOrphansUntil.size();
    }

    int slots(ReportedLoad report) {
        return smallerKnown(mPublishedSlots, report.slots());
    }

    int bearable(ReportedLoad report) {
        return Math.min(slots(report), smallerKnown(mPublishedBearable, report.bearable()));
    }

    private static int smallerKnown(int published, int reported) {
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

    /** Stores the statement when it is new; returns false otherwise. */
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
