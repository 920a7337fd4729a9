package org.bulrushvale.decision.keys;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bulrushvale.kernel.time.Clock;

/**
 * All key spaces that this process holds, and where the others are believed to be.
 *
 * <pre>{@code
 * KeyMemoryBudget memory = KeyMemoryBudget.limitedTo(n, chars);
 * KeySpaces spaces = KeySpaces.create(incarnation, secret, clock, memory);
 * IdempotencyKey key = spaces.issuer().issue("granite", "seat-booking");
 * KeyRoute route = spaces.route(key);
 * }</pre>
 *
 * <p>Invariants: a space enters at most once in the life of this process and only through an offer
 * addressed to this incarnation; the believed location of a space affects only where a request is
 * sent, never whether it runs. The number of spaces, records, outputs and locations is bounded.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class KeySpaces {
    /** Most spaces that one process adopts in its life; later offers are refused. */
    public static final int MAX_ADOPTED = 4_096;

    /** Most locations of foreign spaces that are remembered; the oldest are dropped first. */
    public static final int MAX_LOCATIONS = 8_192;

    private final long mIncarnation;
    private final Clock mClock;
    private final KeyMemoryBudget mMemory;
    private final HandoverRules mRules;
    private final KeyIssuer mIssuer;
    private final Map<Long, KeyLedger> mHeld = new LinkedHashMap<>();
    private final Map<Long, KeyHandover> mHandovers = new LinkedHashMap<>();
    private final Set<Long> mEverHeld = new HashSet<>();
    private final Map<Long, String> mLocations = new LinkedHashMap<>();
    private final Map<String, Set<Long>> mByVm = new HashMap<>();

    KeySpaces(
            long incarnation,
            KeySecret secret,
            Clock clock,
            KeyMemoryBudget memory,
            HandoverRules rules) {
        mIncarnation = incarnation;
        mClock = clock;
        mMemory = memory;
        mRules = rules;
        SpaceClock ownClock = SpaceClock.startingAt(0, clock);
        mIssuer = new KeyIssuer(incarnation, secret, ownClock);
        mHeld.put(incarnation, new KeyLedger(incarnation, ownClock, memory));
        mEverHeld.add(incarnation);
    }

    /** Returns the spaces of a process that has just started and holds only its own. */
    public static KeySpaces create(
            long incarnation, KeySecret secret, Clock clock, KeyMemoryBudget memory) {
        return new KeySpaces(incarnation, secret, clock, memory, new HandoverRules());
    }

    /** Returns this process's incarnation. */
    public long incarnation() {
        return mIncarnation;
    }

    /** Returns the issuer of keys of this process's own space. */
    public KeyIssuer issuer() {
        return mIssuer;
    }

    /** Returns the spaces held here, for gossip. */
    public List<Long> heldSpaceIds() {
        return List.copyOf(mHeld.keySet());
    }

    /**
     * Drops adopted spaces that hold no valid key any more; their keys are answered as lost from
     * then on. They still count as having been here, so that a late offer cannot revive them.
     */
    public void removeExpiredSpaces() {
        Iterator<Map.Entry<Long, KeyLedger>> held = mHeld.entrySet().iterator();
        while (held.hasNext()) {
            Map.Entry<Long, KeyLedger> entry = held.next();
            if (entry.getValue().isOver() && !mHandovers.containsKey(entry.getKey())) {
                entry.getValue().moveOut();
                held.remove();
            }
        }
    }

    /** Returns the number of requests that run under keys of the spaces held here. */
    public int running() {
        return mHeld.values().stream().mapToInt(KeyLedger::running).sum();
    }

    /** Returns where a request with this key must go. */
    public KeyRoute route(IdempotencyKey key) {
        KeyLedger ledger = mHeld.get(key.incarnation());
        if (ledger != null) {
            return new KeyRoute.Local(ledger);
        }
        String vm = mLocations.get(key.incarnation());
        return vm == null ? new KeyRoute.Lost() : new KeyRoute.Peer(vm);
    }

    /** Notes which spaces a peer says it holds; replaces what it said before. */
    public void updatePeerSpaces(String vm, Collection<Long> spaces) {
        forget(vm);
        for (long space : spaces) {
            place(space, vm);
        }
    }

    /** Drops what a peer that is gone said it held. */
    public void forget(String vm) {
        Set<Long> earlier = mByVm.remove(vm);
        if (earlier != null) {
            earlier.forEach(space -> mLocations.remove(space, vm));
        }
    }

    private void place(long space, String vm) {
        Set<Long> others = mByVm.get(String.valueOf(mLocations.remove(space)));
        if (others != null) {
            others.remove(space);
        }
        if (mLocations.size() >= MAX_LOCATIONS) {
            long oldest = mLocations.keySet().iterator().next();
            String oldestVm = mLocations.remove(oldest);
            mByVm.getOrDefault(String.valueOf(oldestVm), new HashSet<>()).remove(oldest);
        }
        mLocations.put(space, vm);
        mByVm.computeIfAbsent(vm, name -> new HashSet<>()).add(space);
    }

    /**
     * Starts to move a held space away, or returns the handover that was started before. The space
     * admits nothing new from now on.
     */
    public KeyHandover beginHandover(long space) {
        KeyHandover handover = mHandovers.get(space);
        if (handover != null) {
            return handover;
        }
        KeyLedger ledger = mHeld.get(space);
        if (ledger == null) {
            throw new IllegalArgumentException("the space is not held here");
        }
        KeyHandover started = new KeyHandover(ledger, mRules);
        mHandovers.put(space, started);
        return started;
    }

    /** Returns the offer for a successor; from then on the space is no longer held here. */
    public Optional<KeySpaceOffer> offer(long space, String vm, long successor) {
        Optional<KeySpaceOffer> offer = beginHandover(space).offerTo(vm, successor);
        if (offer.isPresent()) {
            mHeld.remove(space);
            place(space, vm);
        }
        return offer;
    }

    /** Notes an acknowledgement; one for an unknown handover has no effect. */
    public void acknowledge(long space, long successor) {
        KeyHandover handover = mHandovers.get(space);
        if (handover != null) {
            handover.acknowledge(successor);
        }
    }

    /** Takes over an offered space; every result but a refusal is acknowledged to the sender. */
    public AdoptionResult adopt(KeySpaceOffer offer) {
        if (!mRules.isAddressedTo(mIncarnation, offer)) {
            return AdoptionResult.WRONG_INCARNATION;
        }
        if (!mRules.mayAdopt(mEverHeld.contains(offer.space()))) {
            return AdoptionResult.DUPLICATE;
        }
        if (mEverHeld.size() > MAX_ADOPTED) {
            return AdoptionResult.FULL;
        }
        SpaceClock spaceClock = SpaceClock.startingAt(offer.spaceNowMillis(), mClock);
        KeyLedger ledger = KeyLedger.restore(offer, spaceClock, mMemory);
        if (ledger == null) {
            return AdoptionResult.FULL;
        }
        mEverHeld.add(offer.space());
        mHeld.put(offer.space(), ledger);
        return AdoptionResult.ADOPTED;
    }

    /** Returns the state that decides what runs here, to compare states with each other. */
    String describe() {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(mHeld).forEach((space, l) -> text.append(space).append(l.describe()));
        new TreeMap<>(mHandovers).forEach((space, h) -> text.append(space).append(h.describe()));
        return text.append(new TreeSet<>(mEverHeld)).toString();
    }

    /**
     * Results of an offer at the successor.
     *
     * <p>Thread safety: immutable.
     */
    public enum AdoptionResult {
        ADOPTED(true),
        /** The space has been here before; it may have been passed on since. */
        DUPLICATE(true),
        /** The offer names another incarnation, for example one before a restart. */
        WRONG_INCARNATION(false),
        /** No memory for the space. */
        FULL(false);

        private final boolean mAcknowledged;

        AdoptionResult(boolean acknowledged) {
            mAcknowledged = acknowledged;
        }

        /** Returns true when the sender may drop its snapshot. */
        public boolean isAcknowledged() {
            return mAcknowledged;
        }
    }
}
