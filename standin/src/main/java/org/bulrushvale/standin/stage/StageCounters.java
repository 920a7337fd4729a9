package org.bulrushvale.standin.stage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bulrushvale.standin.http.Json;

/**
 * Counts since the start of the stand-in, over all restarts that it simulates.
 *
 * <p>Invariant: counts never decrease. Thread safety: confined to the endpoint's thread.
 */
final class StageCounters {
    long mCalls;
    long mStarted;
    long mCompleted;
    long mRefused;
    long mErrors;
    long mCancelled;
    long mAbandoned;
    long mDuplicateAttempts;
    long mCacheHits;
    long mFalls;
    long mPoisonCrashes;
    long mBearableViolations;
    int mPeakLoad;
    int mPeakRunning;
    int mPeakColdLoad;

    ObjectNode toJson() {
        return Json.object()
                .put("calls", mCalls)
                .put("started", mStarted)
                .put("completed", mCompleted)
                .put("refused", mRefused)
                .put("errors", mErrors)
                .put("cancelled", mCancelled)
                .put("abandoned", mAbandoned)
                .put("duplicate_attempts", mDuplicateAttempts)
                .put("cache_hits", mCacheHits)
                .put("falls", mFalls)
                .put("poison_crashes", mPoisonCrashes)
                .put("bearable_violations", mBearableViolations)
                .put("peak_load", mPeakLoad)
                .put("peak_running", mPeakRunning)
                .put("peak_load_cold", mPeakColdLoad);
    }
}
