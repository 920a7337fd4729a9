package org.bulrushvale.decision.warmup;

/**
 * Load that a backend server reported.
 *
 * <p>Thread safety: immutable.
 *
 * @param server name of the server
 * @param epoch identifies the process of the server; changes when it restarts
 * @param state whether the server reports that it is warm
 * @param slots concurrent requests that the server can run when warm, 0 when not reported
 * @param coldConcurrency concurrent requests that the server can run when cold, 0 when not reported
 * @param running number of running requests, from all entries
 * @param queued number of requests in the queue of the server
 */
public record ReportedLoad(
        String server,
        String epoch,
        ReportedState state,
        int slots,
        int coldConcurrency,
        int running,
        int queued) {}
