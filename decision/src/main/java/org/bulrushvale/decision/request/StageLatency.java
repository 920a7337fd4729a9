package org.bulrushvale.decision.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.HdrHistogram.IntCountsHistogram;
import org.bulrushvale.kernel.time.Clock;

/**
 * Observed latency quantiles per class and stage over the last one to two windows.
 *
 * <p>Invariant: a quantile is only given from at least {@value #MIN_SAMPLES} samples; the number of
 * histograms is bounded by {@value #MAX_SERIES}. Thread safety: not safe; owned by the event loop.
 */
public final class StageLatency {
    /** Fewer samples give quantiles that one slow request can move by a factor. */
    public static final int MIN_SAMPLES = 20;

    /** At about 7 KB per histogram and two per series, 512 series take at most 7 MB. */
    public static final int MAX_SERIES = 512;

    private static final long UNIT_NANOS = 100_000;
    private static final long MAX_UNITS = 600_000;
    private static final double PERCENT = 100.0;

    /** A quantile walks the whole histogram, which is too much for every request. */
    private static final long CACHE_NANOS = 100_000_000;

    private final Clock mClock;
    private final long mWindowNanos;
    private final Map<Key, Series> mSeries = new LinkedHashMap<>();

    /** Creates an empty table whose histograms rotate once per window. */
    public StageLatency(Clock clock, Duration window) {
        mClock = clock;
        mWindowNanos = window.toNanos();
    }

    /** Records how long a successful attempt took. */
    public void record(String workClass, String stage, Duration latency) {
        Key key = new Key(workClass, stage);
        Series series = mSeries.get(key);
        if (series == null) {
            if (mSeries.size() >= MAX_SERIES) {
                return;
            }
            series = new Series(mClock.monotonicNanos());
            mSeries.put(key, series);
        }
        series.rotate(mClock.monotonicNanos(), mWindowNanos);
        long units = Math.max(0, Math.min(latency.toNanos() / UNIT_NANOS, MAX_UNITS));
        series.mCurrent.recordValue(units);
    }

    /** Returns a quantile in (0, 1], or empty while too few samples are known. */
    public Optional<Duration> quantile(String workClass, String stage, double quantile) {
        Series series = mSeries.get(new Key(workClass, stage));
        if (series == null) {
            return Optional.empty();
        }
        series.rotate(mClock.monotonicNanos(), mWindowNanos);
        Long cached = series.mCache.get(quantile);
        if (cached != null) {
            return Optional.of(Duration.ofNanos(cached * UNIT_NANOS));
        }
        IntCountsHistogram histogram = series.mCurrent;
        if (histogram.getTotalCount() < MIN_SAMPLES) {
            histogram = series.mPrevious;
        }
        if (histogram.getTotalCount() < MIN_SAMPLES) {
            return Optional.empty();
        }
        long units = histogram.getValueAtPercentile(quantile * PERCENT);
        series.mCache.put(quantile, units);
        return Optional.of(Duration.ofNanos(units * UNIT_NANOS));
    }

    private record Key(String workClass, String stage) {}

    private static final class Series {
        private IntCountsHistogram mCurrent = histogram();
        private IntCountsHistogram mPrevious = histogram();
        private final Map<Double, Long> mCache = new HashMap<>();
        private long mCachedAt;
        private long mSince;

        private Series(long now) {
            mSince = now;
            mCachedAt = now;
        }

        private static IntCountsHistogram histogram() {
            return new IntCountsHistogram(1, MAX_UNITS, 2);
        }

        private void rotate(long now, long window) {
            if (now - mCachedAt >= CACHE_NANOS) {
                mCache.clear();
                mCachedAt = now;
            }
            long age = now - mSince;
            if (age < window) {
                return;
            }
            IntCountsHistogram oldest = mPrevious;
            mPrevious = mCurrent;
            mCurrent = oldest;
            mCurrent.reset();
            if (age >= 2 * window) {
                mPrevious.reset();
            }
            mSince = now;
            mCache.clear();
        }
    }
}
