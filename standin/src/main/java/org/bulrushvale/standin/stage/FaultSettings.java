package org.bulrushvale.standin.stage;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.bulrushvale.standin.http.HttpEndpoint.Silence;

/**
 * The faults that a simulated backend server injects until they are reset.
 *
 * <p>Invariant: each change replaces the whole record; the defaults describe a healthy server.
 * Thread safety: immutable.
 *
 * @param silence which connections get no answer
 * @param delayMs added to every service time
 * @param straggleFraction fraction of calls that take {@code straggleMs} longer (stragglers)
 * @param straggleMs added to the service time of a straggler
 * @param truncate how answers are shortened
 * @param attemptIds how the attempt ids in answers are falsified
 * @param errorFraction fraction of calls answered with {@code errorStatus} after they ran; a stream
 *     that has started is cut before its end event instead
 * @param errorStatus status of those answers
 * @param dropFraction fraction of calls whose connection closes after they ran
 * @param refuseFraction fraction of calls refused before any work
 * @param poison text that crashes the server when the input of a call contains it; empty: none
 * @param restartMs time without a listener after a crash
 * @param loadLagMs age of the values in a load report
 * @param cacheLagMs delay until a cache event is visible to readers
 * @param cacheGapFraction fraction of cache events that are never visible
 * @param honorFence false: orders with an outdated fencing token are accepted
 * @param requestsPerSecond rate that load reports state; 0: none. Calls beyond it are accepted
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
        @JsonProperty("honor_fence") boolean honorFence,
        @JsonProperty("requests_per_s") double requestsPerSecond) {

    /** How an answer is shortened. */
    public enum Truncation {
        /** The answer is complete. */
        NONE,
        /** The connection closes in the middle of the answer. */
        CUT,
        /** The answer is well-formed HTTP but lacks its second half and its end mark. */
        CLEAN
    }

    /** How the attempt ids in answers are falsified. */
    public enum AttemptIds {
        /** Each answer carries the attempt id of its call. */
        CORRECT,
        /**
         * Every stream event is sent twice; an answer that is not streamed carries the attempt id
         * of the previous answer.
         */
        DUPLICATE,
        /** Answers carry an attempt id that no caller sent. */
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
                true,
                0);
    }
}
