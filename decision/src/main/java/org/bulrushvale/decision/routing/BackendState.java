package org.bulrushvale.decision.routing;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.warmup.ReportedLoad;

/**
 * A server as the routing sees it: its published data, its last load report and this entry's own
 * requests on it.
 *
 * <p>Thread safety: single-writer, used by the event loop only.
 */
public final class BackendState {
    private static final int MAX_PREFIXES = 4_096;

    final Set<String> mPrefixes = new LinkedHashSet<>();
    long mNextCacheEvent = -1;
    boolean mInService;
    private BackendServer mServer;
    private String mEpoch = "";
    private int mRunning;
    private int mQueued;
    private long mReportNanos = Long.MIN_VALUE;
    private int mSinceReport;
    private int mOutstanding;

    BackendState(BackendServer server) {
        mServer = server;
    }

    /** Returns the published data. */
    public BackendServer server() {
        return mServer;
    }

    void server(BackendServer server) {
        mServer = server;
    }

    /** Returns this entry's requests that run on the server. */
    public int outstanding() {
        return mOutstanding;
    }

    /** Returns the epoch of the last report, empty when none was read. */
    public String epoch() {
        return mEpoch;
    }

    /** Returns the estimated load relative to the slots. */
    public double load() {
        int running = Math.max(mOutstanding, mRunning + mQueued + mSinceReport);
        return (double) running / Math.max(1, mServer.slots());
    }

    /** Takes a report; returns true when the server has restarted. */
    boolean report(ReportedLoad report, long measuredAtNanos) {
        if (measuredAtNanos < mReportNanos) {
            return false;
        }
        boolean restarted = !mEpoch.isEmpty() && !mEpoch.equals(report.epoch());
        mEpoch = report.epoch();
        mRunning = report.running();
        mQueued = report.queued();
        mReportNanos = measuredAtNanos;
        mSinceReport = 0;
        return restarted;
    }

    void started() {
        mOutstanding++;
        mSinceReport++;
    }

    void finished() {
        mOutstanding = Math.max(0, mOutstanding - 1);
        mSinceReport--;
    }

    /** Returns the prefix that was dropped to make room, empty when none was. */
    String addPrefix(String prefix) {
        mPrefixes.add(prefix);
        if (mPrefixes.size() <= MAX_PREFIXES) {
            return "";
        }
        Iterator<String> oldest = mPrefixes.iterator();
        String dropped = oldest.next();
        oldest.remove();
        return dropped;
    }

    boolean isEligible(RoutingRequest request, ConcurrencyLimit limit, long nowNanos) {
        return !request.excluded().contains(mServer.name())
                && mOutstanding < limit.limit(mServer.name(), nowNanos);
    }
}
