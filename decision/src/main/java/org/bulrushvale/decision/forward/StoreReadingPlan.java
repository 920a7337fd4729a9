package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushvale.kernel.time.Clock;

/**
 * Decides whether this entry reads the published state from the store or receives it from another
 * entry, so that the calls to the store grow with the number of failure domains and not with the
 * number of entries.
 *
 * <p>In each failure domain the entry that ranks first reads the store and passes changes on. The
 * others ask it; an entry that does not answer, or whose own state is old, is passed over for
 * {@link #PASS_OVER_TIME} in favour of the next one. An entry reads the store itself while it ranks
 * first among those not passed over, while its domain is small, or when its state was not confirmed
 * within {@link #maxAge}. The entries need not agree on the order.
 *
 * <p>Invariant: an entry whose state is older than {@link #maxAge} reads the store. Thread safety:
 * not safe; used by the event loop.
 */
public final class StoreReadingPlan {
    /** Time for which an entry that could not pass the state on is not asked again. */
    public static final Duration PASS_OVER_TIME = Duration.ofSeconds(2);

    /** Smallest number of entries in a failure domain with which one reads for the others. */
    public static final int MIN_DOMAIN_SIZE = 4;

    private final Clock mClock;
    private final String mSelf;
    private final Duration mFreshness;
    private final Map<String, Long> mPassedOverNanos = new HashMap<>();
    private boolean mComplete;
    private long mConfirmedNanos;

    /**
     * Creates the plan of the entry {@code self}.
     *
     * @param freshness time within which a published change must take effect
     */
    public StoreReadingPlan(Clock clock, String self, Duration freshness) {
        mClock = clock;
        mSelf = self;
        mFreshness = freshness;
    }

    /** Returns the age from which the state is no longer trusted without reading the store. */
    public Duration maxAge() {
        return mFreshness.multipliedBy(7).dividedBy(10);
    }

    /** Returns the time for which an entry may hold back an answer without news. */
    public Duration holdTime() {
        return mFreshness.dividedBy(4);
    }

    /** Records that the whole state was confirmed by the store {@code age} ago. */
    public void recordConfirmed(Duration age) {
        long confirmedNanos = mClock.nanosBefore(age);
        if (!mComplete || confirmedNanos - mConfirmedNanos > 0) {
            mConfirmedNanos = confirmedNanos;
        }
        mComplete = true;
    }

    /** Records that an entry did not answer or passed on a state that is too old. */
    public void recordPassedOver(String entry) {
        mPassedOverNanos.put(entry, mClock.monotonicNanos());
    }

    /** Returns true when the state is complete and not older than {@link #maxAge}. */
    public boolean isFresh() {
        return mComplete && age().compareTo(maxAge()) < 0;
    }

    /** Returns the time since the state was last confirmed by the store. */
    public Duration age() {
        return mComplete
                ? mClock.elapsedSince(mConfirmedNanos)
                : Duration.ofSeconds(Integer.MAX_VALUE);
    }

    /**
     * Returns what to do now.
     *
     * @param domainOrder the entries of the own failure domain, this one included, in the order in
     *     which they should read the store
     * @param others entries of other failure domains, asked when the store cannot be reached
     * @param storeReachable false when this entry's own reads of the store fail
     */
    public Step decide(List<String> domainOrder, List<String> others, boolean storeReachable) {
        removeExpired();
        boolean isSmallDomain = domainOrder.size() < MIN_DOMAIN_SIZE;
        String first =
                domainOrder.stream()
                        .filter(entry -> entry.equals(mSelf) || isUsable(entry))
                        .findFirst()
                        .orElse(mSelf);
        if (!isSmallDomain && !first.equals(mSelf)) {
            StoreReading reading = isFresh() ? StoreReading.OFF : StoreReading.OWN_USE;
            return new Step(reading, Optional.of(first));
        }
        Optional<String> source =
                storeReachable ? Optional.empty() : firstUsable(domainOrder, others);
        return new Step(isSmallDomain ? StoreReading.OWN_USE : StoreReading.FOR_OTHERS, source);
    }

    private Optional<String> firstUsable(List<String> domainOrder, List<String> others) {
        for (List<String> entries : List.of(domainOrder, others)) {
            for (String entry : entries) {
                if (!entry.equals(mSelf) && isUsable(entry)) {
                    return Optional.of(entry);
                }
            }
        }
        return Optional.empty();
    }

    private boolean isUsable(String entry) {
        return !mPassedOverNanos.containsKey(entry);
    }

    private void removeExpired() {
        mPassedOverNanos
                .values()
                .removeIf(nanos -> mClock.elapsedSince(nanos).compareTo(PASS_OVER_TIME) >= 0);
    }

    /**
     * What an entry does to keep its published state current.
     *
     * <p>Thread safety: immutable.
     *
     * @param reading how the store is read
     * @param source the entry to ask for changes, or empty for none
     */
    public record Step(StoreReading reading, Optional<String> source) {}
}
