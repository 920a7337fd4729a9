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
 * Hands the key spaces of a leaving process over, and takes those of others.
 *
 * <p>Invariant: a space is offered to one incarnation of one peer only; an offer that is not
 * acknowledged is repeated to the same one. Thread safety: owned by the event loop.
 */
final class KeyMover {
    private static final Logger LOG = Logger.getLogger(KeyMover.class);
    private static final Duration ACK_TIMEOUT = Duration.ofMillis(500);

    private final EventLoop mLoop;
    private final KeySpaces mSpaces;
    private final PeerTransport mTransport;
    private final Map<Long, Move> mMoves = new HashMap<>();
    private int mNext;

    KeyMover(EventLoop loop, KeySpaces spaces, PeerTransport transport) {
        mLoop = loop;
        mSpaces = spaces;
        mTransport = transport;
    }

    /**
     * Offers every held space and repeats open offers; returns true when nothing is left to do.
     *
     * @param candidates peers that are known to be alive and not draining
     */
    boolean step(Supplier<List<PeerTable.Peer>> candidates) {
        List<Long> held = mSpaces.heldSpaceIds();
        List<PeerTable.Peer> peers = held.isEmpty() ? List.of() : candidates.get();
        for (long space : held) {
            mSpaces.beginHandover(space);
            if (!peers.isEmpty()) {
                PeerTable.Peer peer = peers.get(mNext++ % peers.size());
                List<Long> successor = GossipText.parseSpaces(List.of(peer.report().incarnation()));
                if (!successor.isEmpty()) {
                    mMoves.put(space, new Move(space, peer.vm(), successor.get(0)));
                }
            }
        }
        mMoves.values().stream().filter(move -> !move.mClosed && !move.mWaits).forEach(this::offer);
        return mSpaces.heldSpaceIds().isEmpty()
                && mMoves.values().stream().allMatch(move -> move.mClosed);
    }

    private void offer(Move move) {
        KeySpaceOffer offer = mSpaces.offer(move.mSpace, move.mVm, move.mSuccessor).orElse(null);
        if (offer == null) {
            move.mClosed = true;
            return;
        }
        move.mWaits = true;
        mTransport
                .request(move.mVm, new PeerMessage.KeyHandover(offer.encode()), ACK_TIMEOUT)
                .whenComplete((answer, error) -> mLoop.execute(() -> answered(move, answer)));
    }

    private void answered(Move move, @Nullable PeerMessage answer) {
        move.mWaits = false;
        if (!(answer instanceof PeerMessage.KeyHandoverAck ack)
                || !ack.space().equals(GossipText.space(move.mSpace))) {
            return;
        }
        move.mClosed = true;
        if (ack.accepted()) {
            mSpaces.acknowledge(move.mSpace, move.mSuccessor);
            LOG.infof("key space %s handed over to %s", ack.space(), move.mVm);
        } else {
            LOG.warnf("key space %s refused by %s", ack.space(), move.mVm);
        }
    }

    /** Takes an offered space; returns true when the process now holds one more. */
    boolean receive(PeerMessage.KeyHandover message, PeerListener.Reply reply) {
        KeySpaceOffer offer;
        try {
            offer = KeySpaceOffer.decode(message.offer());
        } catch (BulrushvaleException e) {
            LOG.warnf("key space offer rejected: %s", e.detail());
            return false;
        }
        KeySpaces.AdoptionResult adoption = mSpaces.adopt(offer);
        reply.send(
                new PeerMessage.KeyHandoverAck(
                        GossipText.space(offer.space()),
                        GossipText.space(mSpaces.incarnation()),
                        adoption.isAcknowledged()));
        LOG.infof("key space %s: %s", GossipText.space(offer.space()), adoption);
        return adoption == KeySpaces.AdoptionResult.ADOPTED;
    }

    private static final class Move {
        private final long mSpace;
        private final String mVm;
        private final long mSuccessor;
        private boolean mWaits;
        private boolean mClosed;

        Move(long space, String vm, long successor) {
            mSpace = space;
            mVm = vm;
            mSuccessor = successor;
        }
    }
}
