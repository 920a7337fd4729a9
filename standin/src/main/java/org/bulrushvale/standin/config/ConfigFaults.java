package org.bulrushvale.standin.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults that the configuration service shows until they are reset.
 *
 * <p>Invariant: replaced as a whole on each change; the defaults are a healthy service. Thread
 * safety: immutable.
 *
 * @param down how the service fails
 * @param staleRevision the revision that is served, 0: the newest
 * @param vmsLagMs age of the VM list that is served
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

    /** How the service fails. */
    public enum Outage {
        /** Not at all. */
        NONE,
        /** Answers 503. */
        ERROR,
        /** Closes connections without an answer. */
        RESET,
        /** Keeps connections open without an answer. */
        SILENT
    }
}
