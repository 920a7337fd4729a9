package org.bulrushvale.decision.retry;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import net.openhft.hashing.LongHashFunction;

/**
 * The crashes beside one content that no answer has refuted.
 *
 * <p>Invariant: holds at most {@value #MAX_CRASHES} crashes, those of the greatest depth. Thread
 * safety: not safe.
 */
final class CrashHistory {
    private static final int MAX_CRASHES = 16;

    private final Map<String, KnownCrash> mCrashes = new HashMap<>();
    private long mLastCrashNanos;

    CrashHistory(long nowNanos) {
        mLastCrashNanos = nowNanos;
    }

    boolean isEmpty() {
        return mCrashes.isEmpty();
    }

    long lastCrashNanos() {
        return mLastCrashNanos;
    }

    /** Returns the names of the processes that crashed. */
    Set<String> processes() {
        return mCrashes.keySet();
    }

    /** Returns the number of crashes in a row. */
    int depth() {
        return mCrashes.values().stream().mapToInt(KnownCrash::depth).max().orElse(0);
    }

    /** Calls {@code action} with the process and the depth of each crash. */
    void forEach(BiConsumer<String, Integer> action) {
        mCrashes.forEach((process, crash) -> action.accept(process, crash.depth()));
    }

    /**
     * Returns the depth of a crash of an attempt that began when some crashes were known.
     *
     * @param knownAtStart sequence of the last crash that was known
     */
    int depthAfter(String process, long knownAtStart) {
        int depth = 0;
        for (Map.Entry<String, KnownCrash> entry : mCrashes.entrySet()) {
            KnownCrash crash = entry.getValue();
            if (crash.sequence() <= knownAtStart && !entry.getKey().equals(process)) {
                depth = Math.max(depth, crash.depth());
            }
        }
        return depth + 1;
    }

    /** Returns true when a crash is not known with this depth and there is room for it. */
    boolean accepts(String process, int depth) {
        KnownCrash known = mCrashes.get(process);
        if (known != null) {
            return known.depth() < depth;
        }
        return mCrashes.size() < MAX_CRASHES
                || mCrashes.values().stream().anyMatch(crash -> crash.depth() < depth);
    }

    /** Adds a crash that {@link #accepts} allows. */
    void add(String process, int depth, long sequence, long nanos) {
        if (mCrashes.size() >= MAX_CRASHES && !mCrashes.containsKey(process)) {
            mCrashes.entrySet().stream()
                    .min(Comparator.comparingInt(entry -> entry.getValue().depth()))
                    .map(Map.Entry::getKey)
                    .ifPresent(mCrashes::remove);
        }
        if (mCrashes.isEmpty() || nanos - mLastCrashNanos > 0) {
            mLastCrashNanos = nanos;
        }
        mCrashes.put(process, new KnownCrash(depth, sequence));
    }

    /** Removes the crashes of some processes; returns true when there were any. */
    boolean removeIf(Predicate<String> process) {
        return mCrashes.keySet().removeIf(process);
    }

    boolean isOlderThan(Duration age, long nowNanos) {
        return nowNanos - mLastCrashNanos >= age.toNanos();
    }

    long digest() {
        long sum = 0;
        for (Map.Entry<String, KnownCrash> entry : mCrashes.entrySet()) {
            sum += LongHashFunction.xx(entry.getValue().depth()).hashChars(entry.getKey());
        }
        return sum;
    }

    /**
     * A crash as this entry knows it.
     *
     * <p>Thread safety: immutable.
     *
     * @param sequence number of crashes that this entry knew, with this one
     */
    private record KnownCrash(int depth, long sequence) {}
}
