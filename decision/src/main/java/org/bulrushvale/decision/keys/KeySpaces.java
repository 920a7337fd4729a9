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
 * The key spaces that this process holds, and the VMs that probably hold the others.
 *
 * <pre>{@code
 * KeyMemoryBudget memory = KeyMemoryBudget.limitedTo(n, chars);
 * KeySpaces spaces = KeySpaces.create(incarnation, secret, clock, memory);
 * IdempotencyKey key = spaces.issuer().issue("granite", "seat-booking");
 * KeyRoute route = spaces.route(key);
 * }</pre>
 *
 * <p>Invariants: apart from its own space, this process adopts a space at most once and only by an
 * offer addressed to its incarnation; the probable location of a space decides where a request is
 * sent, never whether it runs. The number of spaces, records, outputs and locations is bounded.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class KeySpaces {
    /** Maximum number of spaces that a process adopts until it ends; further offers are refused. */
    public static final int MAX_ADOPTED = 4_096;

    /** Maximum number of known locations of other spaces; the oldest are removed first. */
    public static final int MAX_LOCATIONS = 8_192;

    private final long mIncarnation;
    private final Clock mClock;
    private final KeyMemoryBudget mMemory;
    private final HandoverRules mRules;
    private final KeyIssuer mIssuer;
    private final Map<Long, KeyLedger> mLedgers = new LinkedHashMap<>();
    private final Map<Long, KeySpaceHandover> mHandovers = new LinkedHashMap<>();
    private final Set<Long> mSpacesEverHeld = new HashSet<>();
    private final Map<Long, String> mLocations = new LinkedHashMap<>();
    private final Map<String, Set<Long>> mSpacesByVm = new HashMap<>();

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
        KeySpaceClock ownSpaceClock = KeySpaceClock.startingAt(0, clock);
        mIssuer = new KeyIssuer(incarnation, secret, ownSpaceClock);
        mLedgers.put(incarnation, new KeyLedger(incarnation, ownSpaceClock, memory));
        mSpacesEverHeld.add(incarnation);
    }

    /** Returns the key spaces of a process that has just started and holds only its own space. */
    public static KeySpaces create(
            long incarnation, KeySecret secret, Clock clock, KeyMemoryBudget memory) {
        return new KeySpaces(incarnation, secret, clock, memory, new HandoverRules());
    }

    /** Returns this process's incarnation. */
    public long incarnation() {
        return mIncarnation;
    }

    /** Returns the issuer of the keys in this process's own space. */
    public KeyIssuer issuer() {
        return mIssuer;
    }

    /** Returns the spaces that this process holds, for gossip. */
    public List<Long> heldSpaceIds() {
        return List.copyOf(mLedgers.keySet());
    }

    /**
     * Removes adopted spaces in which every key has expired. From then on, no holder is known for
     * them. They still count as held before, so a late offer cannot bring them back.
     */
    public void removeExpiredSpaces() {
        Iterator<Map.Entry<Long, KeyLedger>> held = mLedgers.entrySet().iterator();
        while (held.hasNext()) {
            Map.Entry<Long, KeyLedger> entry = held.next();
            if (entry.getValue().isExpired() && !mHandovers.containsKey(entry.getKey())) {
                entry.getValue().closeAndTakeRecords();
                held.remove();
            }
        }
    }

    /** Returns the number of requests running under keys of the spaces that this process holds. */
    public int running() {
        return mLedgers.values().stream().mapToInt(KeyLedger::running).sum();
    }

    /** Returns the route of a request with this key. */
    public KeyRoute route(IdempotencyKey key) {
        KeyLedger ledger = mLedgers.get(key.incarnation());
        if (ledger != null) {
            return new KeyRoute.Local(ledger);
        }
        String vm = mLocations.get(key.incarnation());
        return vm == null ? new KeyRoute.Lost() : new KeyRoute.Peer(vm);
    }

    /** Replaces the known locations on a peer by the spaces that it reports to hold. */
    public void updatePeerSpaces(String vm, Collection<Long> spaces) {
        removeLocations(vm);
        for (long space : spaces) {
            setLocation(space, vm);
        }
    }

    /** Removes all known locations on a peer that is gone. */
    public void removeLocations(String vm) {
        Set<Long> earlier = mSpacesByVm.remove(vm);
        if (earlier != null) {
            earlier.forEach(space -> mLocations.remove(space, vm));
        }
    }

    private void setLocation(long space, String vm) {
        Set<Long> others = mSpacesByVm.get(String.valueOf(mLocations.remove(space)));
        if (others != null) {
            others.remove(space);
        }
        if (mLocations.size() >= MAX_LOCATIONS) {
            long oldest = mLocations.keySet().iterator().next();
            String oldestVm = mLocations.remove(oldest);
            mSpacesByVm.getOrDefault(String.valueOf(oldestVm), new HashSet<>()).remove(oldest);
        }
        mLocations.put(space, vm);
        mSpacesByVm.computeIfAbsent(vm, name -> new HashSet<>()).add(space);
    }

    /**
     * Starts the handover of a held space, or returns the one that was started before. From then
     * on, no key without a record runs in the space.
     */
    public KeySpaceHandover beginHandover(long space) {
        KeySpaceHandover handover = mHandovers.get(space);
        if (handover != null) {
            return handover;
        }
        KeyLedger ledger = mLedgers.get(space);
        if (ledger == null) {
            throw new IllegalArgumentException("key space is not held by this process");
        }
        KeySpaceHandover started = new KeySpaceHandover(ledger, mRules);
        mHandovers.put(space, started);
        return started;
    }

    /**
     * Returns the offer of a space for a successor; empty when it cannot be offered to this one.
     * Once offered, the space is no longer held by this process.
     */
    public Optional<KeySpaceOffer> offer(long space, String vm, long successor) {
        Optional<KeySpaceOffer> offer = beginHandover(space).offerTo(vm, successor);
        if (offer.isPresent()) {
            mLedgers.remove(space);
            setLocation(space, vm);
        }
        return offer;
    }

    /**
     * Records the acknowledgement of a successor; has no effect without a handover of the space.
     */
    public void acknowledge(long space, long successor) {
        KeySpaceHandover handover = mHandovers.get(space);
        if (handover != null) {
            handover.acknowledge(successor);
        }
    }

    /**
     * Adopts an offered space if possible. The caller must acknowledge the offer to its sender
     * unless the result is a refusal.
     */
    public AdoptionResult adopt(KeySpaceOffer offer) {
        if (!mRules.isAddressedTo(mIncarnation, offer)) {
            return AdoptionResult.WRONG_INCARNATION;
        }
        if (!mRules.mayAdopt(mSpacesEverHeld.contains(offer.space()))) {
            return AdoptionResult.DUPLICATE;
        }
        if (mSpacesEverHeld.size() > MAX_ADOPTED) {
            return AdoptionResult.FULL;
        }
        KeySpaceClock spaceClock = KeySpaceClock.startingAt(offer.spaceNowMillis(), mClock);
        KeyLedger ledger = KeyLedger.restore(offer, spaceClock, mMemory);
        if (ledger == null) {
            return AdoptionResult.FULL;
        }
        mSpacesEverHeld.add(offer.space());
        mLedgers.put(offer.space(), ledger);
        return AdoptionResult.ADOPTED;
    }

    /** Returns the state that decides which keys run, as text, so that tests can compare states. */
    String stateText() {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(mLedgers).forEach((space, l) -> text.append(space).append(l.stateText()));
        new TreeMap<>(mHandovers).forEach((space, h) -> text.append(space).append(h.stateText()));
        return text.append(new TreeSet<>(mSpacesEverHeld)).toString();
    }

    /**
     * Result of an offer at its receiver.
     *
     * <p>Thread safety: immutable.
     */
    public enum AdoptionResult {
        /** This process now holds the space. */
        ADOPTED(true),
        /** This process has held the space before and may have handed it over since. */
        DUPLICATE(true),
        /** The offer is addressed to another incarnation, for example to one before a restart. */
        WRONG_INCARNATION(false),
        /** The space exceeds the limits on spaces or memory. */
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
