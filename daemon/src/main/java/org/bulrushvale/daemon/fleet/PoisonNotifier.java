package org.bulrushvale.daemon.fleet;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.bulrushvale.adapters.peer.PeerListener;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.decision.retry.PoisonRecord;
import org.bulrushvale.decision.retry.PoisonTable;
import org.bulrushvale.kernel.event.EventLoop;

/**
 * Notifies all peers of a suspected or confirmed poison request before the caller is answered, so
 * the other entries already know it when they receive the same content.
 *
 * <p>Invariant: every continuation runs exactly once, at the latest after {@link #MAX_WAIT}. Thread
 * safety: owned by the event loop.
 */
public final class PoisonNotifier {
    /** The longest time that peers without an acknowledgement delay the answer to a caller. */
    public static final Duration MAX_WAIT = Duration.ofMillis(200);

    /**
     * Records per gossip message; gossip repeats all records in turn to make up for lost notices.
     */
    private static final int RECORDS_PER_GOSSIP = 8;

    private final EventLoop mLoop;
    private final PoisonTable mTable;
    private final PeerTransport mTransport;
    private final Supplier<List<String>> mPeers;
    private int mNextRecord;

    PoisonNotifier(
            EventLoop loop,
            PoisonTable table,
            PeerTransport transport,
            Supplier<List<String>> peers) {
        mLoop = loop;
        mTable = table;
        mTransport = transport;
        mPeers = peers;
    }

    /**
     * Sends records to all peers and runs {@code continuation} when all have acknowledged or the
     * longest wait has passed.
     */
    public void push(List<PoisonRecord> records, Runnable continuation) {
        List<String> peers = mPeers.get();
        if (records.isEmpty() || peers.isEmpty()) {
            continuation.run();
            return;
        }
        PendingPush pending = new PendingPush(peers.size(), continuation);
        PeerMessage.PoisonNotice notice =
                new PeerMessage.PoisonNotice(GossipConverter.poisonToMessage(records));
        for (String peer : peers) {
            mTransport
                    .request(peer, notice, MAX_WAIT)
                    .whenComplete((answer, error) -> mLoop.execute(pending::onAnswer));
        }
        mLoop.schedule(MAX_WAIT, pending::finish);
    }

    void receive(PeerMessage.PoisonNotice notice, PeerListener.Responder reply) {
        mTable.merge(GossipConverter.parsePoison(notice.poison()));
        reply.send(new PeerMessage.PoisonAck());
    }

    void merge(List<PeerMessage.PoisonState> poison) {
        mTable.merge(GossipConverter.parsePoison(poison));
    }

    /** Returns the records for the next gossip message. */
    List<PeerMessage.PoisonState> nextGossipRecords() {
        List<PoisonRecord> all = mTable.records();
        if (mNextRecord >= all.size()) {
            mNextRecord = 0;
        }
        int end = Math.min(all.size(), mNextRecord + RECORDS_PER_GOSSIP);
        List<PoisonRecord> part = all.subList(mNextRecord, end);
        mNextRecord = end;
        return GossipConverter.poisonToMessage(part);
    }

    private static final class PendingPush {
        private final Runnable mContinuation;
        private int mMissingAnswers;
        private boolean mFinished;

        PendingPush(int expectedAnswers, Runnable continuation) {
            mMissingAnswers = expectedAnswers;
            mContinuation = continuation;
        }

        void onAnswer() {
            mMissingAnswers--;
            if (mMissingAnswers == 0) {
                finish();
            }
        }

        void finish() {
            if (!mFinished) {
                mFinished = true;
                mContinuation.run();
            }
        }
    }
}
