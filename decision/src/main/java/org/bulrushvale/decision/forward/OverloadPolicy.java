package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.kernel.time.Clock;

/**
 * Decides when this entry is overloaded, and when it may report that it is not ready so that the
 * load balancer sends new requests elsewhere.
 *
 * <p>In each period of {@link #SLOT} another quarter of a failure domain, by rendezvous order, may
 * report not ready, so that entries that do not know of each other's overload cannot all do so at
 * once. The order uses the time of day; clocks that differ by more than {@link #SLOT} minus {@link
 * #LATEST_START} minus {@link #MAX_NOT_READY} let two quarters overlap.
 *
 * <p>Invariants: the entry reports not ready for at most {@link #MAX_NOT_READY} in any {@link
 * #SLOT}, not within {@link #SLOT} of its start, and only while three quarters of the known members
 * of its failure domain are ready. Thread safety: not safe; used by the event loop.
 */
public final class OverloadPolicy {
    /** Longest time for which the entry reports not ready. */
    public static final Duration MAX_NOT_READY = Duration.ofSeconds(2);

    /** Shortest time between two times at which the entry becomes not ready. */
    public static final Duration SLOT = Duration.ofSeconds(10);

    /** Time of a slot after which no entry becomes not ready. */
    static final Duration LATEST_START = Duration.ofSeconds(6);

    /** Delay of the event loop above which a period is late. */
    public static final Duration DELAY_LIMIT = Duration.ofMillis(250);

    /** Time without a sign of overload after which the entry has recovered. */
    static final Duration RECOVERY_TIME = Duration.ofSeconds(5);

    static final double MEMORY_LIMIT = 0.9;
    private static final int LATE_PERIODS = 3;
    private static final int NOT_READY_PART = 4;

    private final Clock mClock;
    private final String mSelf;
    private long mLastNotReadyNanos;
    private int mLatePeriods;
    private boolean mOverloaded;
    private long mLastSignNanos;

    /** Creates the policy of the entry {@code self}, which starts now. */
    public OverloadPolicy(Clock clock, String self) {
        mClock = clock;
        mSelf = self;
        mLastNotReadyNanos = clock.monotonicNanos();
    }

    /**
     * Records one period of the event loop.
     *
     * @param delay time by which the period was late
     * @param memory part of the memory that is occupied, 0 to 1
     * @return true when the entry has become overloaded or has recovered
     */
    public boolean recordPeriod(Duration delay, double memory) {
        mLatePeriods = delay.compareTo(DELAY_LIMIT) > 0 ? mLatePeriods + 1 : 0;
        boolean before = mOverloaded;
        if (mLatePeriods >= LATE_PERIODS || memory > MEMORY_LIMIT) {
            mOverloaded = true;
            mLastSignNanos = mClock.monotonicNanos();
        } else if (mClock.elapsedSince(mLastSignNanos).compareTo(RECOVERY_TIME) >= 0) {
            mOverloaded = false;
        }
        return mOverloaded != before;
    }

    /** Returns true while the entry is overloaded. */
    public boolean isOverloaded() {
        return mOverloaded;
    }

    /**
     * Returns true when the entry now becomes not ready, which it may be for {@link
     * #MAX_NOT_READY}.
     */
    public boolean becomeNotReady(Supplier<Domain> domain) {
        if (!mOverloaded
                || mClock.elapsedSince(mLastNotReadyNanos).compareTo(SLOT) < 0
                || !mayReportNotReady(domain.get())) {
            return false;
        }
        mLastNotReadyNanos = mClock.monotonicNanos();
        return true;
    }

    private boolean mayReportNotReady(Domain domain) {
        int known = domain.members().size();
        long millis = mClock.now().toEpochMilli();
        boolean early = Math.floorMod(millis, SLOT.toMillis()) < LATEST_START.toMillis();
        if (!early || NOT_READY_PART * domain.readyOthers() < (NOT_READY_PART - 1) * known) {
            return false;
        }
        LongHashFunction hash = LongHashFunction.xx(Math.floorDiv(millis, SLOT.toMillis()));
        return domain.members().stream()
                .sorted(Comparator.comparingLong(hash::hashChars))
                .limit(known / NOT_READY_PART)
                .anyMatch(mSelf::equals);
    }

    /**
     * What the entry knows about its failure domain.
     *
     * <p>Thread safety: immutable.
     *
     * @param members all known members, also failed ones and this entry
     * @param readyOthers other members that are live and neither leaving nor overloaded
     */
    public record Domain(List<String> members, int readyOthers) {
        public Domain {
            members = List.copyOf(members);
        }
    }
}
