package org.bulrushvale.adapters.peer;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges messages between the processes of one fleet over TCP.
 *
 * <pre>{@code
 * PeerTransport transport =
 *         PeerTransport.builder()
 *                 .fleet("granite").sender("como-1", incarnation).secret(secret)
 *                 .bind(address).resolver(vmList::peerAddress).accept(vmList::contains)
 *                 .listener(listener).start();
 * transport.request("como-2", forward, Duration.ofSeconds(4)).whenComplete(...);
 * }</pre>
 *
 * <p>Invariants: a message is delivered at most once and is never sent again by the transport; a
 * request that fails with {@code NOT_RUN} never reached the peer. One thread serves all peers; each
 * process connects to the peers that it sends to, and an answer returns on the connection of its
 * request.
 *
 * <p>Thread safety: all methods may be called from any thread; the transport's thread completes the
 * futures, so their dependent actions must not block.
 */
public final class PeerTransport implements AutoCloseable {
    private final PeerReactor mReactor;

    private PeerTransport(PeerReactor reactor) {
        mReactor = reactor;
    }

    /** Returns a builder with default limits. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the size of a message on the wire in bytes, for capacity planning. */
    public static int frameBytes(PeerMessage message) throws PeerException {
        return PeerCodec.encode(0, message).remaining();
    }

    /** Returns the address that peers connect to. */
    public InetSocketAddress address() {
        return mReactor.address();
    }

    /**
     * Sends a one-way message; returns false when it was dropped because the send queue of the peer
     * is full, the message exceeds the frame limit or the transport is closed.
     */
    public boolean send(String peer, PeerMessage message) {
        return mReactor.send(peer, message);
    }

    /**
     * Sends a request. The future fails with a {@link PeerException} whose verdict is {@code
     * NOT_RUN} when the peer did not receive the request and {@code MAY_HAVE_RUN} when it may have.
     */
    public CompletableFuture<PeerMessage> request(
            String peer, PeerMessage message, Duration timeout) {
        return mReactor.request(peer, message, timeout);
    }

    /** Injects a network fault on all links to a peer, for tests. */
    public void injectFault(String peer, LinkFault fault) {
        mReactor.injectFault(peer, fault);
    }

    @Override
    public void close() {
        mReactor.close();
    }

    /**
     * Settings of a transport.
     *
     * <p>Invariant: fleet, sender, secret and listener are set before the start. Thread safety: not
     * safe.
     */
    public static final class Builder {
        private static final int MIN_SECRET_BYTES = 16;

        @Nullable String mFleet;
        PeerMessage.@Nullable Sender mSender;
        byte @Nullable [] mSecret;
        @Nullable PeerListener mListener;
        InetSocketAddress mBindAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Predicate<InetAddress> mAddressFilter = address -> false;
        Function<String, Optional<InetSocketAddress>> mResolver = vm -> Optional.empty();
        MeterRegistry mMeters = new SimpleMeterRegistry();
        Clock mClock = Clock.system();
        Duration mHeartbeatPeriod = Duration.ofSeconds(1);
        Duration mSilenceLimit = Duration.ofSeconds(3);
        Duration mIdleLimit = Duration.ofDays(1);
        Duration mBriefIdleLimit = Duration.ofDays(1);
        int mBriefUses = 0;
        Duration mMinBackoff = Duration.ofMillis(100);
        Duration mMaxBackoff = Duration.ofSeconds(2);
        int mMaxQueuedBytes = 4 << 20;

        private Builder() {}

        /** Sets the name of the fleet; peers of another fleet are rejected. */
        public Builder fleet(String fleet) {
            mFleet = fleet;
            return this;
        }

        /** Sets the name of this VM and the incarnation of this process. */
        public Builder sender(String vm, String incarnation) {
            mSender = new PeerMessage.Sender(vm, incarnation);
            return this;
        }

        /** Sets the shared secret, at least 16 bytes. */
        public Builder secret(byte[] secret) {
            mSecret = secret.clone();
            return this;
        }

        /** Sets the address to listen on; port 0 picks a free one. */
        public Builder bind(InetSocketAddress address) {
            mBindAddress = address;
            return this;
        }

        /** Sets the check whether an address may connect; called for each connection. */
        public Builder accept(Predicate<InetAddress> accept) {
            mAddressFilter = accept;
            return this;
        }

        /** Sets the lookup of a peer's address; called for each connection attempt. */
        public Builder resolver(Function<String, Optional<InetSocketAddress>> resolver) {
            mResolver = resolver;
            return this;
        }

        /** Sets the listener that receives messages. */
        public Builder listener(PeerListener listener) {
            mListener = listener;
            return this;
        }

        /** Sets the registry of the counters. */
        public Builder meters(MeterRegistry meters) {
            mMeters = meters;
            return this;
        }

        /** Sets the period of heartbeats and the silence after which a link is closed. */
        public Builder heartbeat(Duration period, Duration silenceLimit) {
            mHeartbeatPeriod = period;
            mSilenceLimit = silenceLimit;
            return this;
        }

        /**
         * Sets the time after which a link is closed that carried nothing but heartbeats. Without
         * it, a process that sends to all others in turn keeps a link to each of them.
         */
        public Builder idleLimit(Duration limit) {
            mIdleLimit = limit;
            return this;
        }

        /**
         * Sets a shorter limit for links that carried at most {@code uses} frames since they were
         * opened. A link of one round of gossip then closes before it costs a heartbeat.
         */
        public Builder briefIdleLimit(int uses, Duration limit) {
            mBriefUses = uses;
            mBriefIdleLimit = limit;
            return this;
        }

        /** Sets the first and the longest delay between connection attempts. */
        public Builder backoff(Duration first, Duration longest) {
            mMinBackoff = first;
            mMaxBackoff = longest;
            return this;
        }

        /** Sets the maximum number of bytes that wait to be written to one peer. */
        public Builder queueBytes(int bytes) {
            mMaxQueuedBytes = bytes;
            return this;
        }

        /** Sets the clock. */
        public Builder clock(Clock clock) {
            mClock = clock;
            return this;
        }

        /** Binds the address and starts the transport's thread. */
        public PeerTransport start() throws PeerException {
            Objects.requireNonNull(mFleet, "fleet");
            Objects.requireNonNull(mSender, "sender");
            Objects.requireNonNull(mListener, "listener");
            if (mSecret == null || mSecret.length < MIN_SECRET_BYTES) {
                throw new IllegalArgumentException("the shared secret needs at least 16 bytes");
            }
            try {
                return new PeerTransport(PeerReactor.start(this));
            } catch (IOException e) {
                throw PeerException.bindFailed(
                        "cannot listen on " + mBindAddress + ": " + e.getMessage());
            }
        }
    }
}
