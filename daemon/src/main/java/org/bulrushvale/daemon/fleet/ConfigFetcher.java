package org.bulrushvale.daemon.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Fetches a newer configuration revision from a peer, one transfer at a time.
 *
 * <p>Invariant: the age of an answer counts from the time of its request, so an answer that waited
 * during a pause of this process does not look recent. Thread safety: owned by the event loop.
 */
final class ConfigFetcher {
    private static final Logger LOG = Logger.getLogger(ConfigFetcher.class);

    /** A revision must be in force within 4 s, so a silent peer must not delay it for long. */
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_REQUESTS = 128;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final ConfigStore mStore;
    private final PeerTransport mTransport;
    private final RevisionHandler mRevisionHandler;
    private @Nullable ConfigTransfer mActiveTransfer;

    ConfigFetcher(
            EventLoop loop,
            Clock clock,
            ConfigStore store,
            PeerTransport transport,
            RevisionHandler revisionHandler) {
        mLoop = loop;
        mClock = clock;
        mStore = store;
        mTransport = transport;
        mRevisionHandler = revisionHandler;
    }

    /**
     * Receives the values of a fetched revision.
     *
     * <p>Thread safety: called on the event loop.
     */
    @FunctionalInterface
    interface RevisionHandler {
        void offer(long revision, Map<String, String> values, Duration age);
    }

    boolean isActive() {
        return mActiveTransfer != null;
    }

    /** Starts a transfer from a peer unless one is running. */
    void fetch(String peer) {
        if (mActiveTransfer == null) {
            ConfigTransfer transfer = new ConfigTransfer(mStore.values());
            mActiveTransfer = transfer;
            request(peer, transfer, transfer.firstRequest(), MAX_REQUESTS);
        }
    }

    private void request(
            String peer,
            ConfigTransfer transfer,
            PeerMessage.ConfigFetch configRequest,
            int remainingRequests) {
        long requestedAtNanos = mClock.monotonicNanos();
        mTransport
                .request(peer, configRequest, TIMEOUT)
                .whenComplete(
                        (answer, error) ->
                                mLoop.execute(
                                        () ->
                                                onAnswer(
                                                        peer,
                                                        transfer,
                                                        answer,
                                                        requestedAtNanos,
                                                        remainingRequests)));
    }

    private void onAnswer(
            String peer,
            ConfigTransfer transfer,
            @Nullable PeerMessage answer,
            long requestedAtNanos,
            int remainingRequests) {
        if (!(answer instanceof PeerMessage.ConfigValues values) || remainingRequests == 0) {
            LOG.debugf(
                    "fetching the configuration from %s failed or needed too many requests", peer);
            mActiveTransfer = null;
            return;
        }
        Optional<PeerMessage.ConfigFetch> next = transfer.take(values);
        if (next.isPresent()) {
            request(peer, transfer, next.get(), remainingRequests - 1);
            return;
        }
        mActiveTransfer = null;
        if (transfer.revision() >= 0) {
            Duration stated = Duration.ofMillis(Math.max(0, values.confirmationAgeMillis()));
            Duration age = stated.plus(mClock.elapsedSince(requestedAtNanos));
            mRevisionHandler.offer(transfer.revision(), transfer.values(), age);
        }
    }
}
