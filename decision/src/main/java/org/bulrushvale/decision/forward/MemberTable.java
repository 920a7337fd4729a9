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
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.kernel.time.Clock;

/**
 * The members of the fleet that this entry knows by gossip with seeds and other members.
 *
 * <p>Invariants: this entry is always a member; a member to which a call failed is left out until
 * it was heard of again after the failure; the number of entries by which fleet-wide limits are
 * divided does not fall until a minute after its largest value was last reached. Thread safety: not
 * safe; used by the event loop.
 */
public final class MemberTable implements ColdServerRateLimit.FleetView {
    /** A member is removed when it was last heard of this long ago. */
    public static final Duration EXPIRY = Duration.ofSeconds(4);

    /**
     * Time after its start that an entry waits for other members before it acts as the only one.
     */
    public static final Duration JOIN_TIME = Duration.ofMillis(500);

    /**
     * Time by which ages in a message without a known transit time count as older. Without it each
     * relay makes a lost member appear younger, so that a member whose calls failed is used again.
     */
    public static final Duration TRANSIT_ALLOWANCE = Duration.ofMillis(100);

    private static final Duration LARGEST_COUNT_HOLD_TIME = Duration.ofMinutes(1);

    // Both numbers are fixed, so that the cost of gossip per entry does not grow with the fleet.
    private static final int GOSSIP_TARGETS_PER_ROUND = 4;
    private static final int MAX_REPORTED_MEMBERS = 64;

    // Collectors are always reported, because entries that do not know them choose others. The
    // number bounds their part of the message.
    private static final int MAX_REPORTED_COLLECTORS = 16;

    private final Clock mClock;
    private final SplittableRandom mRandom;
    private final String mSelf;
    private final String mSelfDomain;
    private final VmChoice mVmChoice;
    private final Map<String, MemberState> mMembers = new HashMap<>();
    private final Map<String, String> mCollectors = new HashMap<>();
    private Set<String> mSeeds;
    private final long mStartNanos;
    private boolean mLeaving;
    private boolean mOverloaded;
    private int mLargestCount = 1;
    private long mLargestCountAtNanos;

    /** Creates the table of an entry of a fleet without failure domains. */
    public MemberTable(Clock clock, SplittableRandom random, String self, Set<String> seeds) {
        this(clock, random, self, "", seeds);
    }

    /** As the constructor with a {@link VmChoice}, for VMs of unknown capacity. */
    public MemberTable(
            Clock clock,
            SplittableRandom random,
            String self,
            String selfDomain,
            Set<String> seeds) {
        this(clock, random, self, selfDomain, seeds, VmChoice.ANY);
    }

    /**
     * Creates the table of the entry {@code self}, which knows only the seeds.
     *
     * @param selfDomain failure domain of this entry
     * @param vmChoice capacity of the VM of this entry, and how capacities are used
     */
    public MemberTable(
            Clock clock,
            SplittableRandom random,
            String self,
            String selfDomain,
            Set<String> seeds,
            VmChoice vmChoice) {
        mVmChoice = vmChoice;
        mClock = clock;
        mRandom = random;
        mSelf = self;
        mSelfDomain = selfDomain;
        mSeeds = Set.copyOf(seeds);
        mStartNanos = clock.monotonicNanos();
        mLargestCountAtNanos = mStartNanos;
    }

    /** Returns the name of this entry. */
    public String self() {
        return mSelf;
    }

    /** Replaces the seeds. */
    public void setSeeds(Set<String> seeds) {
        mSeeds = Set.copyOf(seeds);
    }

    /** Marks this entry as leaving. */
    public void markLeaving() {
        mLeaving = true;
    }

    /** Marks this entry as overloaded or not; while it is, other members collect pieces. */
    public void setOverloaded(boolean overloaded) {
        mOverloaded = overloaded;
    }

    /**
     * Records that a member was last heard of {@code age} ago. Has no effect if that is before the
     * last time recorded, or before the last failed call to the member.
     */
    public void recordHeard(String member, boolean leaving, Duration age) {
        MemberState known = mMembers.get(member);
        recordHeard(member, known == null ? "" : known.domain(), leaving, age);
    }

    /** As {@link #recordHeard(String, boolean, Duration)}, with the member's failure domain. */
    public void recordHeard(String member, String domain, boolean leaving, Duration age) {
        record(
                new MemberReport(
                        member, domain, leaving, isOverloaded(member), age, capacity(member)));
    }

    /** Records what a gossip message says about a member; its age includes the transit. */
    private void record(MemberReport report) {
        if (report.name().equals(mSelf)) {
            return;
        }
        long heardNanos = mClock.nanosBefore(report.age());
        MemberState known = mMembers.get(report.name());
        if (known != null && heardNanos - Math.max(known.heardNanos(), known.failedNanos()) <= 0) {
            return;
        }
        mMembers.put(
                report.name(),
                new MemberState(
                        report.domain(),
                        heardNanos,
                        heardNanos,
                        report.leaving(),
                        report.overloaded(),
                        Math.max(0, report.capacity())));
    }

    /**
     * Records the reports of a gossip message.
     *
     * @param transit upper bound of the time since the message was sent, or {@link
     *     #TRANSIT_ALLOWANCE} if it is unknown
     */
    public void recordReports(List<MemberReport> reports, Duration transit) {
        for (MemberReport report : reports) {
            Duration age = report.age().plus(transit);
            record(
                    new MemberReport(
                            report.name(),
                            report.domain(),
                            report.leaving(),
                            report.overloaded(),
                            age,
                            report.capacity()));
        }
    }

    /** Records that a call to a member failed. */
    public void recordFailure(String member) {
        MemberState known = mMembers.get(member);
        if (known != null) {
            long now = mClock.monotonicNanos();
            mMembers.put(
                    member,
                    new MemberState(
                            known.domain(),
                            known.heardNanos(),
                            now,
                            known.leaving(),
                            known.overloaded(),
                            known.capacity()));
        }
    }

    /** Returns the members that have not failed or expired, this entry first. */
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
        updateLargestCount(live.size(), now);
        return live;
    }

    private void updateLargestCount(int count, long now) {
        if (count >= mLargestCount
                || now - mLargestCountAtNanos >= LARGEST_COUNT_HOLD_TIME.toNanos()) {
            mLargestCount = count;
            mLargestCountAtNanos = now;
        }
    }

    /**
     * Returns the number of entries by which fleet-wide limits are divided: the largest number of
     * live members, until a minute after it was last reached, and at least the number of seeds,
     * this entry included.
     */
    @Override
    public int entryCount() {
        int seeds = mSeeds.contains(mSelf) ? mSeeds.size() : mSeeds.size() + 1;
        live();
        return Math.max(mLargestCount, seeds);
    }

    /**
     * Returns true for {@link #JOIN_TIME} after the start if there are other seeds but no other
     * member was heard of yet.
     */
    public boolean isJoining() {
        boolean alone = mMembers.isEmpty() && !Set.of(mSelf).containsAll(mSeeds);
        return alone && mClock.elapsedSince(mStartNanos).compareTo(JOIN_TIME) < 0;
    }

    /**
     * Returns the member that collects the pieces of a stage service: the one that ranks highest in
     * the rendezvous order of the service among those that are neither leaving nor overloaded, else
     * among those that are not leaving, or this entry if there is none. If strong VMs are
     * preferred, only those of them with at least half of their largest known capacity count.
     */
    public String collector(String service) {
        LongHashFunction hash = LongHashFunction.xx(LongHashFunction.xx().hashChars(service));
        List<String> live = live();
        List<String> candidates = live.stream().filter(this::takesWork).toList();
        if (candidates.isEmpty()) {
            // Overloaded entries must not all collect for themselves.
            candidates = live.stream().filter(member -> !isLeaving(member)).toList();
        }
        int largest = capacityOfStrongest(candidates);
        String collector =
                candidates.stream()
                        .filter(member -> isStrong(member, largest))
                        .max(Comparator.comparingLong(hash::hashChars))
                        .orElse(mSelf);
        mCollectors.put(service, collector);
        return collector;
    }

    /** Returns the capacity of a member's VM, or 0 if it is unknown. */
    public int capacity(String member) {
        if (member.equals(mSelf)) {
            return mVmChoice.capacity();
        }
        MemberState known = mMembers.get(member);
        return known == null ? 0 : known.capacity();
    }

    /** Returns the largest known capacity of the live members that are not leaving, or 0. */
    public int largestCapacity() {
        return knownLargest(live().stream().filter(member -> !isLeaving(member)).toList());
    }

    private int knownLargest(List<String> members) {
        return members.stream().mapToInt(this::capacity).max().orElse(0);
    }

    /** Returns the capacity that a strong member has at least half of; 0 if all are strong. */
    private int capacityOfStrongest(List<String> members) {
        return mVmChoice.strongOnly() ? knownLargest(members) : 0;
    }

    private boolean isStrong(String member, int largest) {
        return largest == 0 || 2L * capacity(member) >= largest;
    }

    /**
     * Returns the live members of this entry's failure domain that are not leaving, in the order in
     * which they should read the store for the others; this entry is always included. If strong VMs
     * are preferred, they come first.
     */
    public List<String> domainReaders() {
        return readers(true);
    }

    /** Returns the live members of other failure domains that are not leaving, in random order. */
    public List<String> otherDomainReaders() {
        List<String> readers = readers(false);
        List<String> shuffled = new ArrayList<>();
        while (!readers.isEmpty()) {
            shuffled.add(readers.remove(mRandom.nextInt(readers.size())));
        }
        return shuffled;
    }

    private List<String> readers(boolean ownDomain) {
        LongHashFunction hash =
                LongHashFunction.xx(LongHashFunction.xx().hashChars("readers " + mSelfDomain));
        List<String> readers = new ArrayList<>();
        List<String> live = live();
        for (String member : live) {
            boolean inDomain = member.equals(mSelf) || domain(member).equals(mSelfDomain);
            if (inDomain == ownDomain && !isLeaving(member)) {
                readers.add(member);
            }
        }
        int largest =
                capacityOfStrongest(live.stream().filter(member -> !isLeaving(member)).toList());
        readers.sort(
                Comparator.comparing((String member) -> !isStrong(member, largest))
                        .thenComparingLong(hash::hashChars));
        if (ownDomain && mLeaving) {
            readers.add(mSelf);
        }
        return readers;
    }

    /** Returns what is known about the failure domain of this entry. */
    public OverloadPolicy.Domain ownDomain() {
        live();
        List<String> members = new ArrayList<>();
        members.add(mSelf);
        int readyOthers = 0;
        for (Map.Entry<String, MemberState> entry : mMembers.entrySet()) {
            MemberState member = entry.getValue();
            if (member.domain().equals(mSelfDomain)) {
                members.add(entry.getKey());
                boolean live = member.failedNanos() - member.heardNanos() <= 0;
                readyOthers += live && takesWork(entry.getKey()) ? 1 : 0;
            }
        }
        return new OverloadPolicy.Domain(members, readyOthers);
    }

    /** Returns true when more than half of the live members are other ones that take new work. */
    public boolean mostTakeWork() {
        List<String> live = live();
        long others = live.stream().filter(name -> !name.equals(mSelf) && takesWork(name)).count();
        return 2 * others > live.size();
    }

    private String domain(String name) {
        MemberState member = mMembers.get(name);
        return member == null ? "" : member.domain();
    }

    @Override
    public int rank(String server) {
        LongHashFunction hash = LongHashFunction.xx(LongHashFunction.xx().hashChars(server));
        long own = hash.hashChars(mSelf);
        return (int) live().stream().filter(member -> hash.hashChars(member) > own).count();
    }

    private boolean isLeaving(String name) {
        if (name.equals(mSelf)) {
            return mLeaving;
        }
        MemberState member = mMembers.get(name);
        return member != null && member.leaving();
    }

    private boolean isOverloaded(String name) {
        if (name.equals(mSelf)) {
            return mOverloaded;
        }
        MemberState member = mMembers.get(name);
        return member != null && member.overloaded();
    }

    private boolean takesWork(String name) {
        return !isLeaving(name) && !isOverloaded(name);
    }

    /**
     * Returns the members to gossip with in this round: all seeds that are not live members, and
     * some random known members, including failed ones.
     */
    public Set<String> gossipTargets() {
        List<String> candidates = live();
        Set<String> targets = new HashSet<>(mSeeds);
        targets.removeAll(candidates);
        candidates.remove(mSelf);
        mMembers.forEach(
                (name, member) -> {
                    if (!candidates.contains(name)) {
                        candidates.add(name);
                    }
                });
        for (int i = 0; i < GOSSIP_TARGETS_PER_ROUND && !candidates.isEmpty(); i++) {
            targets.add(candidates.remove(mRandom.nextInt(candidates.size())));
        }
        targets.remove(mSelf);
        return targets;
    }

    /** Returns at most {@code count} random live members, without this entry. */
    public List<String> randomMembers(int count) {
        List<String> candidates = live();
        candidates.remove(mSelf);
        List<String> chosen = new ArrayList<>();
        while (chosen.size() < count && !candidates.isEmpty()) {
            chosen.add(candidates.remove(mRandom.nextInt(candidates.size())));
        }
        return chosen;
    }

    /**
     * Returns the members to report in a gossip message: this entry, then the other members that
     * have not failed, collectors first, then by the time at which they were last heard of.
     */
    public List<MemberReport> knownMembers() {
        long now = mClock.monotonicNanos();
        List<MemberReport> others = new ArrayList<>();
        mMembers.forEach(
                (name, member) -> {
                    if (member.failedNanos() - member.heardNanos() <= 0) {
                        Duration age = Duration.ofNanos(now - member.heardNanos());
                        others.add(
                                new MemberReport(
                                        name,
                                        member.domain(),
                                        member.leaving(),
                                        member.overloaded(),
                                        age,
                                        member.capacity()));
                    }
                });
        Set<String> collectors =
                mCollectors.values().stream()
                        .distinct()
                        .limit(MAX_REPORTED_COLLECTORS)
                        .collect(Collectors.toUnmodifiableSet());
        others.sort(
                Comparator.comparing((MemberReport report) -> !collectors.contains(report.name()))
                        .thenComparing(MemberReport::age));
        List<MemberReport> reported = new ArrayList<>();
        reported.add(
                new MemberReport(
                        mSelf,
                        mSelfDomain,
                        mLeaving,
                        mOverloaded,
                        Duration.ZERO,
                        mVmChoice.capacity()));
        reported.addAll(others.subList(0, Math.min(MAX_REPORTED_MEMBERS, others.size())));
        return reported;
    }

    /**
     * Which VMs collect pieces and read the store.
     *
     * <p>Thread safety: immutable.
     *
     * @param capacity capacity of the VM of this entry; 0 if it is unknown
     * @param strongOnly true to prefer VMs with at least half of the largest known capacity
     */
    public record VmChoice(int capacity, boolean strongOnly) {
        /** All VMs, whatever their capacity. */
        public static final VmChoice ANY = new VmChoice(0, false);
    }

    /**
     * What a gossip message says about a member.
     *
     * <p>Thread safety: immutable.
     *
     * @param domain failure domain of the member; empty when it is not known
     * @param leaving true when the member takes no new work
     * @param overloaded true when others should collect pieces instead of the member
     * @param age time since the member was last heard of
     * @param capacity capacity of the member's VM; 0 if it is unknown
     */
    public record MemberReport(
            String name,
            String domain,
            boolean leaving,
            boolean overloaded,
            Duration age,
            int capacity) {}

    /**
     * What this entry knows about another member.
     *
     * <p>Thread safety: immutable.
     *
     * @param domain failure domain of the member; empty when it is not known
     * @param heardNanos monotonic time at which it was last heard of
     * @param failedNanos monotonic time of the last failed call; {@code heardNanos} or earlier when
     *     no call has failed since
     * @param leaving true when the member takes no new work
     * @param overloaded true when others should collect pieces instead of the member
     * @param capacity capacity of the member's VM; 0 if it is unknown
     */
    private record MemberState(
            String domain,
            long heardNanos,
            long failedNanos,
            boolean leaving,
            boolean overloaded,
            int capacity) {}
}
