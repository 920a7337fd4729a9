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
 * Tells all peers of a suspicion or conviction before a caller is answered, so that the same
 * content sent through another entry meets it.
 *
 * <p>Invariant: {@code then} runs exactly once, at the latest after {@link #LIMIT}. Thread safety:
 * owned by the event loop.
 */
public final class PoisonNotices {
    /** Longest delay of a caller's answer by peers that do not acknowledge. */
    public static final Duration LIMIT = Duration.ofMillis(200);

    /** Records per gossip message; all of them are repeated in turn to repair lost notices. */
    private static final int PER_GOSSIP = 8;

    private final EventLoop mLoop;
    private final PoisonTable mTable;
    private final PeerTransport mTransport;
    private final Supplier<List<String>> mPeers;
    private int mNext;

    PoisonNotices(
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
     * Pushes records to all peers and runs {@code then} when all acknowledged or the limit ends.
     */
    public void push(List<PoisonRecord> records, Runnable then) {
        List<String> peers = mPeers.get();
        if (records.isEmpty() || peers.isEmpty()) {
            then.run();
            return;
        }
        Pending pending = new Pending(peers.size(), then);
        PeerMessage.PoisonNotice notice = new PeerMessage.PoisonNotice(GossipText.poison(records));
        for (String peer : peers) {
            mTransport
                    .request(peer, notice, LIMIT)
                    .whenComplete((answer, error) -> mLoop.execute(pending::answered));
        }
        mLoop.schedule(LIMIT, pending::finish);
    }

    void receive(PeerMessage.PoisonNotice notice, PeerListener.Reply reply) {
        mTable.merge(GossipText.parsePoison(notice.poison()));
        reply.send(new PeerMessage.PoisonAck());
    }

    void merge(List<PeerMessage.PoisonState> poison) {
        mTable.merge(GossipText.parsePoison(poison));
    }

    /** Returns the records of the next gossip message. */
    List<PeerMessage.PoisonState> next() {
        List<PoisonRecord> all = mTable.records();
        if (mNext >= all.size()) {
            mNext = 0;
        }
        int end = Math.min(all.size(), mNext + PER_GOSSIP);
        List<PoisonRecord> part = all.subList(mNext, end);
        mNext = end;
        return GossipText.poison(part);
    }

    private static final class Pending {
        private final Runnable mThen;
        private int mOpen;
        private boolean mDone;

        Pending(int open, Runnable then) {
            mOpen = open;
            mThen = then;
        }

        void answered() {
            mOpen--;
            if (mOpen == 0) {
                finish();
            }
        }

        void finish() {
            if (!mDone) {
                mDone = true;
                mThen.run();
            }
        }
    }
}
