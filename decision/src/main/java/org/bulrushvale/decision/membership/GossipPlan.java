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
 * Chooses the peers that a process sends gossip to and fetches configurations from.
 *
 * <p>Invariant: the rotation chooses every peer once before it starts again, so with n peers each
 * is reached at least every ceil(n / 4) gossip rounds. Thread safety: single-writer, used by the
 * event loop only.
 */
public final class GossipPlan {
    /**
     * Peers per gossip round. A fixed number keeps the traffic per process constant as the fleet
     * grows.
     */
    public static final int FANOUT = 4;

    private final String mSelf;
    private final Random mRandom;
    private final List<String> mRotation = new ArrayList<>();
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

    /**
     * Sets the peers. A changed set restarts the rotation in a new random order; an unchanged set
     * keeps its position.
     */
    public void setPeers(Collection<String> vms) {
        Set<String> peers = new HashSet<>(vms);
        peers.remove(mSelf);
        if (peers.equals(mPeers)) {
            return;
        }
        mPeers = peers;
        mRotation.clear();
        mRotation.addAll(peers);
        // The iteration order of the set is unspecified; sorting makes the rotation depend on the
        // seed alone.
        Collections.sort(mRotation);
        Collections.shuffle(mRotation, mRandom);
        mNext = 0;
    }

    /** Returns the peers of the next gossip round, at most {@value #FANOUT} and none twice. */
    public List<String> nextPeers() {
        int count = Math.min(FANOUT, mRotation.size());
        List<String> chosen = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            chosen.add(mRotation.get(mNext));
            mNext = (mNext + 1) % mRotation.size();
        }
        return chosen;
    }

    /**
     * Returns the peers to which a new revision is pushed at once: at most {@value #FANOUT} random
     * ones that have not reported it. The rotation does not advance.
     */
    public List<String> pushTargets(PeerTable table, long revision) {
        List<String> behind = new ArrayList<>();
        for (String name : mRotation) {
            if (revisionOf(table, name) < revision) {
                behind.add(name);
            }
        }
        Collections.shuffle(behind, mRandom);
        return behind.size() <= FANOUT ? behind : List.copyOf(behind.subList(0, FANOUT));
    }

    /**
     * Returns the peer to fetch a newer configuration from: a random one of those that report the
     * highest revision above {@code revision} and were heard from within the limit. Peers in {@code
     * failed} are left out.
     */
    public Optional<String> chooseFetchSource(
            PeerTable table, long revision, Set<String> failed, Duration limit, long nowNanos) {
        long highestRevision = revision;
        List<String> sources = new ArrayList<>();
        for (String name : mRotation) {
            PeerTable.Peer peer = table.peer(name).orElse(null);
            if (peer == null || failed.contains(name) || !peer.isHeardWithin(limit, nowNanos)) {
                continue;
            }
            long reported = peer.report().configRevision();
            if (reported > highestRevision) {
                highestRevision = reported;
                sources.clear();
            }
            if (reported == highestRevision && highestRevision > revision) {
                sources.add(name);
            }
        }
        return sources.isEmpty()
                ? Optional.empty()
                : Optional.of(sources.get(mRandom.nextInt(sources.size())));
    }

    private static long revisionOf(PeerTable table, String name) {
        return table.peer(name).map(peer -> peer.report().configRevision()).orElse(-1L);
    }
}
