package org.bulrushvale.standin.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults that the simulated configuration service injects until they are reset.
 *
 * <p>Invariant: each change replaces the whole record; the defaults describe a healthy service.
 * Thread safety: immutable.
 *
 * @param down how the service fails to answer
 * @param staleRevision newest revision that readers get; 0: no limit
 * @param vmsLagMs age of the VM list that readers get
 * @param vmsDown true: the VM list cannot be read while the values can
 * @param delayMs delay of every answer
 * @param rateLimit calls and waiting watches per second; more are answered with 429
 */
public record ConfigFaults(
        @JsonProperty("down") Outage down,
        @JsonProperty("stale_revision") long staleRevision,
        @JsonProperty("vms_lag_ms") long vmsLagMs,
        @JsonProperty("vms_down") boolean vmsDown,
        @JsonProperty("delay_ms") long delayMs,
        @JsonProperty("rate_limit") int rateLimit) {

    /** How the service fails to answer. */
    public enum Outage {
        /** The service answers. */
        NONE,
        /** Answers 503. */
        ERROR,
        /** Closes connections without an answer. */
        RESET,
        /** Keeps connections open without an answer. */
        SILENT
    }
}
