package org.bulrushvale.standin.stage;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.bulrushvale.standin.http.HttpEndpoint.Silence;

/**
 * The faults that a backend server stand-in shows until they are reset.
 *
 * <p>Invariant: replaced as a whole on each change; the defaults are a healthy server. Thread
 * safety: immutable.
 *
 * @param silence connections that get no answer
 * @param delayMs added to every service time
 * @param straggleFraction fraction of calls that straggle
 * @param straggleMs added to the service time of a straggler
 * @param truncate how answers are shortened
 * @param attemptIds what is wrong with attempt ids
 * @param errorFraction fraction of calls answered with {@code errorStatus} after they ran
 * @param errorStatus status of those answers
 * @param dropFraction fraction of calls whose connection closes after they ran
 * @param refuseFraction fraction of calls refused before any work
 * @param poison calls whose input contains this text crash the server; empty: none
 * @param restartMs time without a listener after a crash
 * @param loadLagMs age of the load report
 * @param cacheLagMs age at which cache events become visible
 * @param cacheGapFraction fraction of cache events that are never visible
 * @param honorFence false: orders with an old fencing number are accepted
 */
public record FaultSettings(
        @JsonProperty("silent") Silence silence,
        @JsonProperty("delay_ms") long delayMs,
        @JsonProperty("straggle_fraction") double straggleFraction,
        @JsonProperty("straggle_ms") long straggleMs,
        @JsonProperty("truncate") Truncation truncate,
        @JsonProperty("attempt_ids") AttemptIds attemptIds,
        @JsonProperty("error_fraction") double errorFraction,
        @JsonProperty("error_status") int errorStatus,
        @JsonProperty("drop_fraction") double dropFraction,
        @JsonProperty("refuse_fraction") double refuseFraction,
        @JsonProperty("poison") String poison,
        @JsonProperty("restart_ms") long restartMs,
        @JsonProperty("load_lag_ms") long loadLagMs,
        @JsonProperty("cache_lag_ms") long cacheLagMs,
        @JsonProperty("cache_gap_fraction") double cacheGapFraction,
        @JsonProperty("honor_fence") boolean honorFence) {

    /** How an answer is shortened. */
    public enum Truncation {
        /** Not at all. */
        NONE,
        /** The connection closes in the middle of the answer. */
        CUT,
        /** The answer is well-formed HTTP but lacks its second half and its end mark. */
        CLEAN
    }

    /** What is wrong with the attempt ids of answers. */
    public enum AttemptIds {
        /** Nothing. */
        CORRECT,
        /** Every event is sent twice; a complete answer is that of the call before. */
        DUPLICATE,
        /** Answers carry an id that was never sent. */
        FOREIGN
    }

    /** Returns the settings of a healthy server. */
    public static FaultSettings none() {
        return new FaultSettings(
                Silence.NONE,
                0,
                0,
                0,
                Truncation.NONE,
                AttemptIds.CORRECT,
                0,
                500,
                0,
                0,
                "",
                1000,
                100,
                200,
                0,
                true);
    }
}
