package org.bulrushvale.decision.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Chooses the peers that a process gossips to and fetches from.
 *
 * <p>Invariant: within one round of the rotation every peer is chosen once, so with n peers each is
 * reached at least every ceil(n / 4) ticks. Thread safety: single-writer, used by the event loop
 * only.
 */
public final class GossipPlan {
    /** Peers per tick. A fixed number keeps the traffic per node constant as the fleet grows. */
    public static final int FANOUT = 4;

    private final String mSelf;
    private final Random mRandom;
    private final List<String> mOrder = new ArrayList<>();
    private Set<String> mPeers = Set.of();
    private int mNext;

    private GossipPlan(String self, long seed) {
        mSelf = self;
        mRandom = new Random(seed);
    }

    /** Returns a plan for the process on VM {@code self}. */
    public static GossipPlan create(String self, long seed) {
        return new GossipPlan(self, seed);
    }

    /** Sets the peers; an unchanged set keeps the rotation where it is. */
    public void setPeers(Collection<String> vms) {
        Set<String> peers = new HashSet<>(vms);
        peers.remove(mSelf);
        if (peers.equals(mPeers)) {
            return;
        }
        mPeers = peers;
        mOrder.clear();
        mOrder.addAll(peers);
        // The set's order depends on the platform; the seed alone must decide the rotation.
        Collections.sort(mOrder);
        Collections.shuffle(mOrder, mRandom);
        mNext = 0;
    }

    /** Returns the peers of the next tick, at most {@value #FANOUT} and none twice. */
    public List<String> nextPeers() {
        int count = Math.min(FANOUT, mOrder.size());
        List<String> chosen = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            chosen.add(mOrder.get(mNext));
            mNext = (mNext + 1) % mOrder.size();
        }
        return chosen;
    }

    /**
     * Returns the peers to which a new revision is pushed at once: random ones that have not
     * reported it. The rotation does not advance.
     */
    public List<String> pushTargets(PeerTable table, long revision) {
        List<String> behind = new ArrayList<>();
        for (String name : mOrder) {
            if (revisionOf(table, name) < revision) {
                behind.add(name);
            }
        }
        Collections.shuffle(behind, mRandom);
        return behind.size() <= FANOUT ? behind : List.copyOf(behind.subList(0, FANOUT));
    }

    /**
     * Returns the peer to fetch a newer configuration from: a random one among those that report
     * the highest revision above {@code revision} and were heard from within the limit. Peers in
     * {@code failed} are left out.
     */
    public Optional<String> fetchFrom(
            PeerTable table, long revision, Set<String> failed, Duration limit, long nowNanos) {
        long best = revision;
        List<String> holders = new ArrayList<>();
        for (String name : mOrder) {
            PeerTable.Peer peer = table.peer(name).orElse(null);
            if (peer == null || failed.contains(name) || !peer.isHeardWithin(limit, nowNanos)) {
                continue;
            }
            long reported = peer.report().configRevision();
            if (reported > best) {
                best = reported;
                holders.clear();
            }
            if (reported == best && best > revision) {
                holders.add(name);
            }
        }
        return holders.isEmpty()
                ? Optional.empty()
                : Optional.of(holders.get(mRandom.nextInt(holders.size())));
    }

    private static long revisionOf(PeerTable table, String name) {
        return table.peer(name).map(peer -> peer.report().configRevision()).orElse(-1L);
    }
}
