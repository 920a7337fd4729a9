package org.bulrushvale.decision.routing;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.warmup.ReportedLoad;

/**
 * The routing state of a server: its published data, its last load report, its cached prefixes and
 * the number of requests that this entry runs on it.
 *
 * <p>Thread safety: single-writer, used by the event loop only.
 */
public final class BackendState {
    private static final int MAX_CACHED_PREFIXES = 4_096;

    final Set<String> mCachedPrefixes = new LinkedHashSet<>();
    long mNextCacheSequence = -1;
    boolean mInService;
    private BackendServer mServer;
    private String mEpoch = "";
    private int mReportedRunning;
    private int mReportedQueued;
    private long mMeasuredAtNanos = Long.MIN_VALUE;
    private int mNetStartedSinceReport;
    private int mOutstanding;

    BackendState(BackendServer server) {
        mServer = server;
    }

    /** Returns the published data of the server. */
    public BackendServer server() {
        return mServer;
    }

    void server(BackendServer server) {
        mServer = server;
    }

    /** Returns the number of requests of this entry that run on the server. */
    public int outstanding() {
        return mOutstanding;
    }

    /**
     * Returns the epoch of the server's process in the last report, which changes when the server
     * restarts; empty when there is no report.
     */
    public String epoch() {
        return mEpoch;
    }

    /**
     * Returns the estimated load: the requests on the server divided by its slots. These requests
     * are those of the last report plus the net change by this entry since then, but at least the
     * outstanding ones of this entry.
     */
    public double load() {
        int requests =
                Math.max(mOutstanding, mReportedRunning + mReportedQueued + mNetStartedSinceReport);
        return (double) requests / Math.max(1, mServer.slots());
    }

    /** Applies a report unless a later one is known; returns true when the server has restarted. */
    boolean applyReport(ReportedLoad report, long measuredAtNanos) {
        if (measuredAtNanos < mMeasuredAtNanos) {
            return false;
        }
        boolean restarted = !mEpoch.isEmpty() && !mEpoch.equals(report.epoch());
        mEpoch = report.epoch();
        mReportedRunning = report.running();
        mReportedQueued = report.queued();
        mMeasuredAtNanos = measuredAtNanos;
        mNetStartedSinceReport = 0;
        return restarted;
    }

    void recordStart() {
        mOutstanding++;
        mNetStartedSinceReport++;
    }

    void recordEnd() {
        mOutstanding = Math.max(0, mOutstanding - 1);
        mNetStartedSinceReport--;
    }

    /**
     * Adds a cached prefix; returns the oldest one if it was removed for the limit, else an empty
     * text.
     */
    String addPrefix(String prefix) {
        mCachedPrefixes.add(prefix);
        if (mCachedPrefixes.size() <= MAX_CACHED_PREFIXES) {
            return "";
        }
        Iterator<String> oldest = mCachedPrefixes.iterator();
        String removed = oldest.next();
        oldest.remove();
        return removed;
    }

    boolean isEligible(RoutingRequest request, ConcurrencyLimit limit, long nowNanos) {
        return !request.excluded().contains(mServer.name())
                && mOutstanding < limit.limit(mServer.name(), nowNanos);
    }
}
