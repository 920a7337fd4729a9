package org.bulrushvale.standin.stage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bulrushvale.standin.http.Json;

/**
 * Counts since the stand-in was created. They continue over simulated crashes and restarts.
 *
 * <p>Invariant: counts never decrease. Thread safety: confined to the endpoint's thread.
 */
final class StageCounters {
    long mCalls;
    long mStarted;
    long mCompleted;
    long mRefused;
    // Calls whose answer was replaced by an error or a closed connection through a fault setting.
    long mErrors;
    long mCancelled;
    // Runs stopped because their caller had disconnected.
    long mAbandoned;
    // Calls with the attempt id of a call that was still queued or running.
    long mDuplicateAttempts;
    long mCacheHits;
    long mCrashes;
    long mPoisonCrashes;
    // Calls that crashed a cold server because its load exceeded the bearable load.
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
                .put("falls", mCrashes)
                .put("poison_crashes", mPoisonCrashes)
                .put("bearable_violations", mBearableViolations)
                .put("peak_load", mPeakLoad)
                .put("peak_running", mPeakRunning)
                .put("peak_load_cold", mPeakColdLoad);
    }
}
