package org.bulrushvale.decision.warmup;

/**
 * What a backend server says about its load.
 *
 * <p>Thread safety: immutable.
 *
 * @param server name of the server
 * @param epoch changes when the server process restarts
 * @param state whether the server says that it is warm
 * @param slots concurrent requests when warm, 0 when not reported
 * @param bearable concurrent requests when cold, 0 when not reported
 * @param running requests that run, from all entries
 * @param queued requests that wait in the server
 */
public record ReportedLoad(
        String server,
        String epoch,
        ReportedState state,
        int slots,
        int bearable,
        int running,
        int queued) {}
