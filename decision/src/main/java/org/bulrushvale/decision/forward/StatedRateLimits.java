package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.decision.forward.ColdServerRateLimit.FleetView;
import org.bulrushvale.decision.membership.SharedRecords;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Limits the requests of this entry to backend servers that state the rate which they take from all
 * entries together.
 *
 * <p>The requests that a rate allows within a window are divided among the entries: each takes the
 * same number, and the entries that rank highest for the server take one of the remainder each, so
 * a rate that is lower than the number of entries is still used. At least one request is allowed in
 * a window, because only an answer shows that a server states no rate any more.
 *
 * <p>Invariants: in any window this entry sends a server at most its share, whichever entry was
 * told the rate; a record replaces another one only if it is newer by {@link #MIN_ADVANCE}, so
 * records that contradict each other cannot circulate. Thread safety: not safe; used by the event
 * loop.
 */
public final class StatedRateLimits implements SharedRecords<StatedRate> {
    /** Time over which the requests to a server are counted. */
    public static final Duration WINDOW = Duration.ofSeconds(4);

    /** Records that entries exchange in one message: about 20 KB at 40 bytes per record. */
    public static final int MAX_RECORDS_PER_NOTICE = 512;

    /** Exceeds the time for which a record is under way between entries. */
    static final Duration MIN_ADVANCE = Duration.ofMillis(500);

    // A server that lives answers more often than this.
    private static final Duration LIFETIME = Duration.ofMinutes(5);

    // How often a share is computed anew, because members come and go.
    private static final Duration SHARE_PERIOD = Duration.ofMillis(500);
    private static final int MAX_RATES = 4_096;
    private static final int MAX_PROCESS_NAME_LENGTH = 192;

    private final Clock mClock;
    private final FleetView mFleet;
    private final Map<String, Rate> mRates = new HashMap<>();

    /** Creates the limits of one entry of a fleet. */
    public StatedRateLimits(Clock clock, FleetView fleet) {
        mClock = clock;
        mFleet = fleet;
    }

    @Override
    public boolean isEmpty() {
        return mRates.isEmpty();
    }

    /** Returns the rate that a process is known to state. */
    public OptionalDouble requestsPerSecond(String process) {
        Rate rate = mRates.get(process);
        return rate == null ? OptionalDouble.empty() : rate.mRequestsPerSecond;
    }

    /** Returns the number of servers that state a rate. */
    public int count() {
        return (int)
                mRates.values().stream()
                        .filter(rate -> rate.mRequestsPerSecond.isPresent())
                        .count();
    }

    /**
     * Returns the number of requests that may be sent to a process now, {@link Integer#MAX_VALUE}
     * when it states no rate.
     *
     * @param onlySender true when no other entry sends requests to the process
     */
    public int permits(String process, boolean onlySender) {
        Rate rate = mRates.get(process);
        if (rate == null || rate.mRequestsPerSecond.isEmpty()) {
            return Integer.MAX_VALUE;
        }
        int share = onlySender ? rate.budget() : share(process, rate);
        return Math.max(0, share - rate.recentSends());
    }

    /** Records a request that is sent to a process. */
    public void recordSent(String process) {
        Rate rate = mRates.get(process);
        if (rate != null && rate.mRequestsPerSecond.isPresent()) {
            rate.recentSends();
            rate.mSentNanos.addLast(mClock.monotonicNanos());
        }
    }

    private int share(String process, Rate rate) {
        long now = mClock.monotonicNanos();
        if (rate.mShare < 0 || now - rate.mShareNanos >= SHARE_PERIOD.toNanos()) {
            int budget = rate.budget();
            int entries = Math.max(1, mFleet.entryCount());
            int remainder = mFleet.rank(process) < budget % entries ? 1 : 0;
            rate.mShare = budget / entries + remainder;
            rate.mShareNanos = now;
        }
        return rate.mShare;
    }

    /**
     * Records what a process states in an answer.
     *
     * @return the record if it changed, for the other entries
     */
    public List<StatedRate> onAnswer(String process, OptionalDouble requestsPerSecond) {
        Rate rate = mRates.get(process);
        long now = mClock.monotonicNanos();
        if (requestsPerSecond.isEmpty() && (rate == null || !rate.mayBeLifted(now))) {
            return List.of();
        }
        return state(process, requestsPerSecond, now) ? List.of(record(process, now)) : List.of();
    }

    /** Records a rate; returns true when it differs from the one before. */
    private boolean state(String process, OptionalDouble requestsPerSecond, long nanos) {
        if (mRates.size() >= MAX_RATES && !mRates.containsKey(process)) {
            return false;
        }
        Rate rate = mRates.computeIfAbsent(process, name -> new Rate());
        boolean changed = !rate.mRequestsPerSecond.equals(requestsPerSecond);
        rate.mRequestsPerSecond = requestsPerSecond;
        rate.mStatedNanos = nanos;
        if (requestsPerSecond.isEmpty()) {
            rate.mSentNanos.clear();
        }
        rate.mShare = changed ? -1 : rate.mShare;
        return changed;
    }

    @Override
    public Merged<StatedRate> merge(Collection<StatedRate> records) {
        long now = mClock.monotonicNanos();
        List<StatedRate> changed = new ArrayList<>();
        List<StatedRate> corrections = new ArrayList<>();
        for (StatedRate record : records) {
            if (!isAcceptable(record)) {
                continue;
            }
            long stated = now - Duration.ofMillis(record.ageMillis()).toNanos();
            Rate known = mRates.get(record.process());
            if (known == null || stated - known.mStatedNanos >= MIN_ADVANCE.toNanos()) {
                if (state(record.process(), record.requestsPerSecond(), stated)) {
                    changed.add(record);
                }
            } else if (known.mStatedNanos - stated >= MIN_ADVANCE.toNanos()
                    && !known.mRequestsPerSecond.equals(record.requestsPerSecond())) {
                corrections.add(record(record.process(), now));
            }
        }
        return new Merged<>(changed, corrections);
    }

    private static boolean isAcceptable(StatedRate record) {
        return record.ageMillis() >= 0
                && record.ageMillis() < LIFETIME.toMillis()
                && record.process().length() <= MAX_PROCESS_NAME_LENGTH
                && record.requestsPerSecond().orElse(0) >= 0;
    }

    @Override
    public List<StatedRate> records(int limit) {
        long now = mClock.monotonicNanos();
        removeExpired(now);
        Comparator<Map.Entry<String, Rate>> limitedFirst =
                Comparator.comparing(entry -> entry.getValue().mRequestsPerSecond.isEmpty());
        return mRates.entrySet().stream()
                .sorted(limitedFirst.thenComparingLong(e -> now - e.getValue().mStatedNanos))
                .limit(limit)
                .map(entry -> record(entry.getKey(), now))
                .toList();
    }

    @Override
    public long digest() {
        removeExpired(mClock.monotonicNanos());
        long sum = 0;
        for (Map.Entry<String, Rate> entry : mRates.entrySet()) {
            OptionalDouble rate = entry.getValue().mRequestsPerSecond;
            if (rate.isPresent()) {
                long bits = Double.doubleToLongBits(rate.getAsDouble());
                sum += LongHashFunction.xx(bits).hashChars(entry.getKey());
            }
        }
        return sum;
    }

    private void removeExpired(long now) {
        mRates.values().removeIf(rate -> now - rate.mStatedNanos >= LIFETIME.toNanos());
    }

    private StatedRate record(String process, long now) {
        @Nullable Rate rate = mRates.get(process);
        if (rate == null) {
            return new StatedRate(process, OptionalDouble.empty(), 0);
        }
        long age = Duration.ofNanos(Math.max(0, now - rate.mStatedNanos)).toMillis();
        return new StatedRate(process, rate.mRequestsPerSecond, age);
    }

    /**
     * What is known of the rate of one process, and the requests of this entry to it.
     *
     * <p>Thread safety: not safe.
     */
    private final class Rate {
        private final Deque<Long> mSentNanos = new ArrayDeque<>();
        private OptionalDouble mRequestsPerSecond = OptionalDouble.empty();
        private long mStatedNanos;
        private long mShareNanos;
        private int mShare = -1;

        /** Returns the requests that all entries together may send within a window. */
        private int budget() {
            double allowed = mRequestsPerSecond.orElse(0) * WINDOW.toSeconds();
            return (int) Math.max(1, Math.min(allowed, Integer.MAX_VALUE / 2));
        }

        private boolean mayBeLifted(long now) {
            return mRequestsPerSecond.isPresent() && now - mStatedNanos >= MIN_ADVANCE.toNanos();
        }

        /** Forgets the requests before the window and returns the number of the others. */
        private int recentSends() {
            long start = mClock.monotonicNanos() - WINDOW.toNanos();
            while (!mSentNanos.isEmpty() && mSentNanos.peekFirst() - start < 0) {
                mSentNanos.removeFirst();
            }
            return mSentNanos.size();
        }
    }
}
