package org.bulrushvale.adapters.settings;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * Validated settings of one entry daemon.
 *
 * <p>Invariant: every value satisfies its rule in {@link SettingsCheck}. Thread safety: immutable.
 *
 * @param entry identity of this process
 * @param caller caller listener
 * @param operator operator listener
 * @param peer peer transport
 * @param platform platform services
 * @param backend backend client
 * @param log log output
 * @param drain graceful shutdown
 * @param routing choice of backend servers
 * @param warmup time limits of the warm-up rules
 */
public record EntrySettings(
        Entry entry,
        Caller caller,
        Operator operator,
        Peer peer,
        Platform platform,
        Backend backend,
        Log log,
        Drain drain,
        Routing routing,
        Warmup warmup) {
    /**
     * Identity of this process.
     *
     * <p>Thread safety: immutable.
     */
    public record Entry(String vm, String failureDomain, String region, String fleet) {}

    /**
     * Address and limits of the caller listener.
     *
     * <p>Thread safety: immutable.
     */
    public record Caller(
            String address,
            int port,
            int maxBodyBytes,
            int maxHeaderBytes,
            Duration readTimeout,
            int maxConcurrent,
            int maxStreams,
            int queueLength) {}

    /**
     * Address of the operator listener and the client addresses that it answers.
     *
     * <p>Thread safety: immutable.
     */
    public record Operator(String address, int port, List<String> allowedAddresses) {}

    /**
     * Address of the peer transport, the fleet's shared secret, and the peers that are used while
     * the VM list cannot be read.
     *
     * <p>Invariant: {@link #toString()} hides the secret. Thread safety: immutable.
     */
    public record Peer(String address, int port, String secret, List<String> peers) {
        @Override
        public String toString() {
            return "Peer[address=" + address + ", port=" + port + ", peers=" + peers + "]";
        }
    }

    /**
     * URLs at which the platform publishes the configuration and the VM list.
     *
     * <p>Thread safety: immutable.
     */
    public record Platform(URI configUrl, URI vmsUrl) {}

    /**
     * Limits of the backend client.
     *
     * <p>Thread safety: immutable.
     */
    public record Backend(
            Duration connectTimeout,
            Duration progressTimeout,
            Duration loadInterval,
            int maxAnswerBytes) {}

    /**
     * Format and level of the log.
     *
     * <p>Thread safety: immutable.
     */
    public record Log(boolean json, String level) {}

    /**
     * Time limits of a graceful shutdown.
     *
     * <p>Thread safety: immutable.
     *
     * @param readinessDelay time from the failing readiness check to the close of the listeners
     * @param settle time after that in which requests on open connections are still accepted
     * @param grace time after the last accepted deadline in which a request must have ended
     * @param handover longest time for handing over key spaces
     */
    public record Drain(
            Duration readinessDelay, Duration settle, Duration grace, Duration handover) {}

    /**
     * Policy for choosing backend servers. Without the warm-up rules every entry uses all published
     * slots of a server; switching them off is meant for measurements only.
     *
     * <p>Thread safety: immutable.
     */
    public record Routing(String policy, boolean warmup) {}

    /**
     * Time limits of the warm-up rules.
     *
     * <p>Thread safety: immutable.
     *
     * @param listLagMax longest time by which the VM lists that two entries read may differ
     * @param longestDeadline longest time that a request may run on a backend server
     * @param viewAgeMax an entry whose VM list was not confirmed for longer sends nothing to cold
     *     servers
     * @param reportAgeMax a load report that is older permits no sending
     */
    public record Warmup(
            Duration listLagMax,
            Duration longestDeadline,
            Duration viewAgeMax,
            Duration reportAgeMax) {}
}
