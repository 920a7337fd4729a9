package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.kernel.time.Clock;

/**
 * The members that this entry has heard of, from seeds and from other members.
 *
 * <p>Invariants: this entry is always a member; a member that fails is left out until it is heard
 * of after the failure; the number used to divide fleet-wide limits never falls within a minute of
 * a larger one. Thread safety: not safe; used by the event loop.
 */
public final class MemberTable implements ColdServerRateLimit.Fleet {
    /** A member not heard of for so long is left out. */
    public static final Duration EXPIRY = Duration.ofSeconds(4);

    /** An entry that has found no other one after this time takes itself for the only one. */
    public static final Duration JOIN_TIME = Duration.ofMillis(500);

    private static final Duration COUNT_MEMORY = Duration.ofMinutes(1);

    // A constant, so that the cost per entry does not grow with the fleet.
    private static final int GREETED_PER_ROUND = 4;
    private static final int LISTED = 64;

    private final Clock mClock;
    private final SplittableRandom mRandom;
    private final String mSelf;
    private final Map<String, Member> mMembers = new HashMap<>();
    private Set<String> mSeeds;
    private final long mStartNanos;
    private boolean mLeaving;
    private int mLargest = 1;
    private long mLargestAtNanos;

    /** Creates a table that knows only the seeds. */
    public MemberTable(Clock clock, SplittableRandom random, String self, Set<String> seeds) {
        mClock = clock;
        mRandom = random;
        mSelf = self;
        mSeeds = Set.copyOf(seeds);
        mStartNanos = clock.monotonicNanos();
        mLargestAtNanos = mStartNanos;
    }

    /** Replaces the seeds. */
    public void setSeeds(Set<String> seeds) {
        mSeeds = Set.copyOf(seeds);
    }

    /** Marks this entry as leaving. */
    public void markLeaving() {
        mLeaving = true;
    }

    /** Records that a member was heard of some time ago. */
    public void recordHeard(String member, boolean leaving, Duration age) {
        if (member.equals(mSelf)) {
            return;
        }
        long at = mClock.monotonicNanos() - age.toNanos();
        Member known = mMembers.get(member);
        if (known != null && at - Math.max(known.heardNanos(), known.failedNanos()) <= 0) {
            return;
        }
        mMembers.put(member, new Member(at, at, leaving));
    }

    /** Records that a call to a member failed. */
    public void recordFailure(String member) {
        Member known = mMembers.get(member);
        if (known != null) {
            long now = mClock.monotonicNanos();
            mMembers.put(member, new Member(known.heardNanos(), now, known.leaving()));
        }
    }

    /** Returns the members that can be called, this entry included. */
    public List<String> live() {
        long now = mClock.monotonicNanos();
        mMembers.values().removeIf(member -> now - member.heardNanos() >= EXPIRY.toNanos());
        List<String> live = new ArrayList<>();
        live.add(mSelf);
        mMembers.forEach(
                (name, member) -> {
                    if (member.failedNanos() - member.heardNanos() <= 0) {
                        live.add(name);
                    }
                });
        noteCount(live.size(), now);
        return live;
    }

    private void noteCount(int count, long now) {
        if (count >= mLargest || now - mLargestAtNanos >= COUNT_MEMORY.toNanos()) {
            mLargest = count;
            mLargestAtNanos = now;
        }
    }

    /** Returns the number of entries by which fleet-wide limits are divided. */
    @Override
    public int entryCount() {
        int seeds = mSeeds.contains(mSelf) ? mSeeds.size() : mSeeds.size() + 1;
        live();
        return Math.max(mLargest, seeds);
    }

    /** Returns true shortly after the start, until another member was heard of. */
    public boolean isJoining() {
        boolean alone = mMembers.isEmpty() && !Set.of(mSelf).containsAll(mSeeds);
        return alone && mClock.elapsedSince(mStartNanos).compareTo(JOIN_TIME) < 0;
    }

    /** Returns the member that collects the pieces of a stage service; this entry if alone. */
    public String collector(String service) {
        LongHashFunction hash = LongHashFunction.xx(LongHashFunction.xx().hashChars(service));
        String best = null;
        for (String member : live()) {
            boolean leaving = member.equals(mSelf) ? mLeaving : isLeaving(member);
            if (!leaving && (best == null || hash.hashChars(member) > hash.hashChars(best))) {
                best = member;
            }
        }
        return best == null ? mSelf : best;
    }

    @Override
    public int rank(String name) {
        LongHashFunction hash = LongHashFunction.xx(LongHashFunction.xx().hashChars(name));
        long own = hash.hashChars(mSelf);
        return (int) live().stream().filter(member -> hash.hashChars(member) > own).count();
    }

    private boolean isLeaving(String name) {
        Member member = mMembers.get(name);
        return member != null && member.leaving();
    }

    /** Returns whom to greet now: seeds that are not members, and some members. */
    public Set<String> gossipTargets() {
        List<String> live = live();
        Set<String> greeted = new HashSet<>(mSeeds);
        greeted.removeAll(live);
        live.remove(mSelf);
        mMembers.forEach(
                (name, member) -> {
                    if (!live.contains(name)) {
                        live.add(name);
                    }
                });
        for (int i = 0; i < GREETED_PER_ROUND && !live.isEmpty(); i++) {
            greeted.add(live.remove(mRandom.nextInt(live.size())));
        }
        greeted.remove(mSelf);
        return greeted;
    }

    /** Returns what to tell a greeted member: this entry, then those heard of latest. */
    public List<Heard> knownMembers() {
        long now = mClock.monotonicNanos();
        List<Heard> list = new ArrayList<>();
        mMembers.forEach(
                (name, member) -> {
                    if (member.failedNanos() - member.heardNanos() <= 0) {
                        Duration age = Duration.ofNanos(now - member.heardNanos());
                        list.add(new Heard(name, member.leaving(), age));
                    }
                });
        list.sort(Comparator.comparing(Heard::age));
        List<Heard> told = new ArrayList<>();
        told.add(new Heard(mSelf, mLeaving, Duration.ZERO));
        told.addAll(list.subList(0, Math.min(LISTED, list.size())));
        return told;
    }

    /**
     * What is told about a member.
     *
     * <p>Thread safety: immutable.
     */
    public record Heard(String name, boolean leaving, Duration age) {}

    /**
     * What is known of a member.
     *
     * <p>Thread safety: immutable.
     */
    private record Member(long heardNanos, long failedNanos, boolean leaving) {}
}
