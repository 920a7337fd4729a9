package org.bulrushvale.decision.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.HdrHistogram.IntCountsHistogram;
import org.bulrushvale.kernel.time.Clock;

/**
 * Observed latency quantiles per class of work and stage. A quantile covers the current window, or
 * the previous one while the current one has too few samples.
 *
 * <p>Invariant: a quantile is only returned from at least {@value #MIN_SAMPLES} samples; the number
 * of pairs of a class and a stage is at most {@value #MAX_SERIES}. Thread safety: not safe; owned
 * by the event loop.
 */
public final class StageLatency {
    /** Minimum number of samples of a quantile. With fewer, one slow request can multiply it. */
    public static final int MIN_SAMPLES = 20;

    /**
     * Maximum number of pairs of a class and a stage. At about 7 KB per histogram and two
     * histograms per pair, 512 pairs take at most 7 MB.
     */
    public static final int MAX_SERIES = 512;

    // The histograms count in units of 0.1 ms, up to 60 s.
    private static final long UNIT_NANOS = 100_000;
    private static final long MAX_UNITS = 600_000;
    private static final double PERCENT = 100.0;

    /**
     * Time for which a quantile is cached; computing it walks the whole histogram, which is too
     * expensive for every request.
     */
    private static final long QUANTILE_CACHE_NANOS = 100_000_000;

    private final Clock mClock;
    private final long mWindowNanos;
    private final int mMinSamples;
    private final int mMaxSeries;
    private final Map<Key, Series> mSeries = new LinkedHashMap<>();

    /** Creates an empty table that replaces its histograms once per window. */
    public StageLatency(Clock clock, Duration window) {
        this(clock, window, MIN_SAMPLES, MAX_SERIES);
    }

    /**
     * Creates an empty table with limits of its own.
     *
     * @param minSamples minimum number of samples of a quantile; at least {@value #MIN_SAMPLES}
     * @param maxSeries maximum number of pairs; at most {@value #MAX_SERIES}
     */
    public StageLatency(Clock clock, Duration window, int minSamples, int maxSeries) {
        mClock = clock;
        mWindowNanos = window.toNanos();
        mMinSamples = Math.max(minSamples, MIN_SAMPLES);
        mMaxSeries = Math.min(maxSeries, MAX_SERIES);
    }

    /**
     * Records the latency of a successful attempt; ignored when the pair is new and the maximum
     * number of pairs is reached.
     */
    public void record(String workClass, String stage, Duration latency) {
        Key key = new Key(workClass, stage);
        Series series = mSeries.get(key);
        if (series == null) {
            if (mSeries.size() >= mMaxSeries) {
                return;
            }
            series = new Series(mClock.monotonicNanos());
            mSeries.put(key, series);
        }
        series.rotate(mClock.monotonicNanos(), mWindowNanos);
        long latencyUnits = Math.max(0, Math.min(latency.toNanos() / UNIT_NANOS, MAX_UNITS));
        series.mCurrent.recordValue(latencyUnits);
    }

    /**
     * Returns the latency at a quantile, or empty while there are too few samples.
     *
     * @param quantile quantile in (0, 1]
     */
    public Optional<Duration> quantile(String workClass, String stage, double quantile) {
        Series series = mSeries.get(new Key(workClass, stage));
        if (series == null) {
            return Optional.empty();
        }
        series.rotate(mClock.monotonicNanos(), mWindowNanos);
        Long cached = series.mCachedUnits.get(quantile);
        if (cached != null) {
            return Optional.of(Duration.ofNanos(cached * UNIT_NANOS));
        }
        IntCountsHistogram histogram = series.mCurrent;
        if (histogram.getTotalCount() < mMinSamples) {
            histogram = series.mPrevious;
        }
        if (histogram.getTotalCount() < mMinSamples) {
            return Optional.empty();
        }
        long latencyUnits = histogram.getValueAtPercentile(quantile * PERCENT);
        series.mCachedUnits.put(quantile, latencyUnits);
        return Optional.of(Duration.ofNanos(latencyUnits * UNIT_NANOS));
    }

    private record Key(String workClass, String stage) {}

    private static final class Series {
        private IntCountsHistogram mCurrent = histogram();
        private IntCountsHistogram mPrevious = histogram();
        private final Map<Double, Long> mCachedUnits = new HashMap<>();
        private long mCachedAtNanos;
        private long mWindowStartNanos;

        private Series(long now) {
            mWindowStartNanos = now;
            mCachedAtNanos = now;
        }

        private static IntCountsHistogram histogram() {
            return new IntCountsHistogram(1, MAX_UNITS, 2);
        }

        private void rotate(long now, long window) {
            if (now - mCachedAtNanos >= QUANTILE_CACHE_NANOS) {
                mCachedUnits.clear();
                mCachedAtNanos = now;
            }
            long age = now - mWindowStartNanos;
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
            mWindowStartNanos = now;
            mCachedUnits.clear();
        }
    }
}
