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
 * Fetches a newer revision from a peer, one transfer at a time.
 *
 * <p>Invariant: an answer is dated with the time of its question, so that one which waited during a
 * pause of this process does not look recent. Thread safety: owned by the event loop.
 */
final class ConfigFetcher {
    private static final Logger LOG = Logger.getLogger(ConfigFetcher.class);

    /** A silent peer must not use up the 4 s in which a revision has to be in force. */
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_QUESTIONS = 128;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final ConfigStore mStore;
    private final PeerTransport mTransport;
    private final Sink mSink;
    private @Nullable ConfigTransfer mActive;

    ConfigFetcher(
            EventLoop loop, Clock clock, ConfigStore store, PeerTransport transport, Sink sink) {
        mLoop = loop;
        mClock = clock;
        mStore = store;
        mTransport = transport;
        mSink = sink;
    }

    /**
     * Receives the values of a revision.
     *
     * <p>Thread safety: called on the event loop.
     */
    @FunctionalInterface
    interface Sink {
        void offer(long revision, Map<String, String> values, Duration age);
    }

    boolean isActive() {
        return mActive != null;
    }

    /** Starts a transfer unless one is running. */
    void fetch(String peer) {
        if (mActive == null) {
            ConfigTransfer transfer = new ConfigTransfer(mStore.values());
            mActive = transfer;
            ask(peer, transfer, transfer.firstQuestion(), MAX_QUESTIONS);
        }
    }

    private void ask(
            String peer, ConfigTransfer transfer, PeerMessage.ConfigFetch question, int left) {
        long askedAt = mClock.monotonicNanos();
        mTransport
                .request(peer, question, TIMEOUT)
                .whenComplete(
                        (answer, error) ->
                                mLoop.execute(
                                        () -> answered(peer, transfer, answer, askedAt, left)));
    }

    private void answered(
            String peer,
            ConfigTransfer transfer,
            @Nullable PeerMessage answer,
            long askedAt,
            int left) {
        if (!(answer instanceof PeerMessage.ConfigValues values) || left == 0) {
            LOG.debugf("no configuration from %s", peer);
            mActive = null;
            return;
        }
        Optional<PeerMessage.ConfigFetch> next = transfer.take(values);
        if (next.isPresent()) {
            ask(peer, transfer, next.get(), left - 1);
            return;
        }
        mActive = null;
        if (transfer.revision() >= 0) {
            Duration stated = Duration.ofMillis(Math.max(0, values.confirmationAgeMillis()));
            Duration age = stated.plus(mClock.elapsedSince(askedAt));
            mSink.offer(transfer.revision(), transfer.values(), age);
        }
    }
}
