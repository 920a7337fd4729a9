package org.bulrushvale.daemon.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.bulrushvale.adapters.peer.PeerListener;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.decision.keys.KeySpaceOffer;
import org.bulrushvale.decision.keys.KeySpaces;
import org.bulrushvale.decision.membership.PeerTable;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Hands the key spaces of a leaving process over to peers, and adopts those of other processes.
 *
 * <p>Invariant: a key space is offered to only one incarnation of one peer; an offer without an
 * acknowledgement is repeated to the same incarnation. Thread safety: owned by the event loop.
 */
final class KeySpaceHandover {
    private static final Logger LOG = Logger.getLogger(KeySpaceHandover.class);
    private static final Duration ACK_TIMEOUT = Duration.ofMillis(500);

    private final EventLoop mLoop;
    private final KeySpaces mSpaces;
    private final PeerTransport mTransport;
    private final Map<Long, Transfer> mTransfers = new HashMap<>();
    private int mNextCandidate;

    KeySpaceHandover(EventLoop loop, KeySpaces spaces, PeerTransport transport) {
        mLoop = loop;
        mSpaces = spaces;
        mTransport = transport;
    }

    /**
     * Offers every held key space and repeats unacknowledged offers; returns true when all are
     * finished.
     *
     * @param candidates peers that are known to be alive and not draining
     */
    boolean advance(Supplier<List<PeerTable.Peer>> candidates) {
        List<Long> held = mSpaces.heldSpaceIds();
        List<PeerTable.Peer> peers = held.isEmpty() ? List.of() : candidates.get();
        for (long space : held) {
            mSpaces.beginHandover(space);
            if (!peers.isEmpty()) {
                PeerTable.Peer peer = peers.get(mNextCandidate++ % peers.size());
                List<Long> successorIncarnation =
                        GossipConverter.parseSpaces(List.of(peer.report().incarnation()));
                if (!successorIncarnation.isEmpty()) {
                    mTransfers.put(
                            space, new Transfer(space, peer.vm(), successorIncarnation.get(0)));
                }
            }
        }
        mTransfers.values().stream()
                .filter(transfer -> !transfer.mFinished && !transfer.mAwaitsAnswer)
                .forEach(this::offer);
        return mSpaces.heldSpaceIds().isEmpty()
                && mTransfers.values().stream().allMatch(transfer -> transfer.mFinished);
    }

    private void offer(Transfer transfer) {
        KeySpaceOffer offer =
                mSpaces.offer(transfer.mSpace, transfer.mVm, transfer.mSuccessorIncarnation)
                        .orElse(null);
        if (offer == null) {
            transfer.mFinished = true;
            return;
        }
        transfer.mAwaitsAnswer = true;
        mTransport
                .request(transfer.mVm, new PeerMessage.KeyHandover(offer.encode()), ACK_TIMEOUT)
                .whenComplete((answer, error) -> mLoop.execute(() -> onAnswer(transfer, answer)));
    }

    private void onAnswer(Transfer transfer, @Nullable PeerMessage answer) {
        transfer.mAwaitsAnswer = false;
        if (!(answer instanceof PeerMessage.KeyHandoverAck ack)
                || !ack.space().equals(GossipConverter.spaceToText(transfer.mSpace))) {
            return;
        }
        transfer.mFinished = true;
        if (ack.accepted()) {
            mSpaces.acknowledge(transfer.mSpace, transfer.mSuccessorIncarnation);
            LOG.infof("key space %s was handed over to %s", ack.space(), transfer.mVm);
        } else {
            LOG.warnf("key space %s was refused by %s", ack.space(), transfer.mVm);
        }
    }

    /** Adopts an offered key space if possible; returns true when this process newly holds it. */
    boolean receive(PeerMessage.KeyHandover message, PeerListener.Responder reply) {
        KeySpaceOffer offer;
        try {
            offer = KeySpaceOffer.decode(message.offer());
        } catch (BulrushvaleException e) {
            LOG.warnf("malformed key space offer: %s", e.detail());
            return false;
        }
        KeySpaces.AdoptionResult adoption = mSpaces.adopt(offer);
        reply.send(
                new PeerMessage.KeyHandoverAck(
                        GossipConverter.spaceToText(offer.space()),
                        GossipConverter.spaceToText(mSpaces.incarnation()),
                        adoption.isAcknowledged()));
        LOG.infof(
                "offer of key space %s: %s", GossipConverter.spaceToText(offer.space()), adoption);
        return adoption == KeySpaces.AdoptionResult.ADOPTED;
    }

    private static final class Transfer {
        private final long mSpace;
        private final String mVm;
        private final long mSuccessorIncarnation;
        private boolean mAwaitsAnswer;
        private boolean mFinished;

        Transfer(long space, String vm, long successorIncarnation) {
            mSpace = space;
            mVm = vm;
            mSuccessorIncarnation = successorIncarnation;
        }
    }
}
