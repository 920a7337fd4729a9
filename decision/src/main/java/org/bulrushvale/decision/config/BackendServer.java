package org.bulrushvale.decision.config;

/**
 * A backend server, as the platform publishes it.
 *
 * <p>Invariant: {@code 1 <= coldConcurrency <= slots}. Thread safety: immutable.
 *
 * @param name unique name
 * @param pool pool that it belongs to
 * @param address IP address
 * @param port TCP port
 * @param failureDomain failure domain that it runs in
 * @param slots maximum number of concurrent requests when it is warm
 * @param coldConcurrency maximum number of concurrent requests when it is cold
 * @param leaving true when it must receive no new work
 */
public record BackendServer(
        String name,
        String pool,
        String address,
        int port,
        String failureDomain,
        int slots,
        int coldConcurrency,
        boolean leaving) {}
