package org.bulrushvale.standin.plain;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One run of a stage call, as {@code GET /control/ledger} lists it.
 *
 * <p>Thread safety: immutable.
 *
 * @param requestId request that ran
 * @param attemptId attempt that ran
 * @param workspace workspace of the request
 * @param stage stage that ran
 * @param bodySha256 SHA-256 of the input in hexadecimal digits
 * @param timeMs wall-clock time at the start of the run, in milliseconds since the epoch
 */
public record LedgerEntry(
        @JsonProperty("request_id") String requestId,
        @JsonProperty("attempt_id") String attemptId,
        @JsonProperty("workspace") String workspace,
        @JsonProperty("stage") String stage,
        @JsonProperty("body_sha256") String bodySha256,
        @JsonProperty("time_ms") long timeMs) {}
