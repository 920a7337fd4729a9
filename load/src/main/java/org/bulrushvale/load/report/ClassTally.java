package org.bulrushvale.load.report;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.bulrushvale.load.client.RequestOutcome;
import org.bulrushvale.load.client.RequestSender.Result;

/**
 * Counts and latencies of one class.
 *
 * <p>Invariant: {@code sent = ok + late + refused + cut + unreachable + invalid} once every request
 * has ended; requests that the tool itself could not send count as unsent. Latencies are measured
 * from the intended send time, so that a stalled entry cannot hide its own delay. Thread safety:
 * safe for use by any thread.
 */
public final class ClassTally {
    private static final long MAX_LATENCY_MICROS = Duration.ofMinutes(10).toNanos() / 1000;
    private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9, 100};

    private final Histogram mLatencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Histogram mFirstTokenMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Map<String, Long> mCountByReason = new TreeMap<>();
    private long mSent;
    private long mUnsent;
    private long mOk;
    private long mLate;
    private long mRefused;
    private long mCut;
    private long mUnreachable;
    private long mInvalid;
    private long mTokens;

    /** Counts a request that is about to be sent. */
    public synchronized void recordSent() {
        mSent++;
    }

    /** Counts an arrival that is not sent because the limit of requests in flight is reached. */
    public synchronized void recordUnsent() {
        mUnsent++;
    }

    /** Counts a finished request. */
    public synchronized void recordFinished(Result result, long intendedNanos, Duration deadline) {
        long latencyNanos = Math.max(0, result.endNanos() - intendedNanos);
        RequestOutcome outcome = result.outcome();
        switch (outcome.kind()) {
            case COMPLETE -> {
                recordComplete(latencyNanos, deadline);
                mTokens += outcome.tokens();
                if (result.firstTokenNanos() != 0) {
                    recordLatency(
                            mFirstTokenMicros,
                            Math.max(0, result.firstTokenNanos() - intendedNanos));
                }
            }
            case REFUSED -> {
                mRefused++;
                countReason("refused " + outcome.verdict() + " " + outcome.code());
            }
            case CUT -> {
                mCut++;
                countReason("cut: " + outcome.code());
            }
            case UNREACHABLE -> {
                mUnreachable++;
                countReason("unreachable: " + outcome.code());
            }
            case INVALID -> {
                mInvalid++;
                countReason("invalid: " + outcome.code());
            }
            default -> throw new IllegalStateException("unknown kind of outcome");
        }
    }

    private void recordComplete(long latencyNanos, Duration deadline) {
        recordLatency(mLatencyMicros, latencyNanos);
        if (latencyNanos <= deadline.toNanos()) {
            mOk++;
        } else {
            mLate++;
        }
    }

    private static void recordLatency(Histogram histogram, long latencyNanos) {
        histogram.recordValue(Math.min(MAX_LATENCY_MICROS, latencyNanos / 1000));
    }

    private void countReason(String reason) {
        mCountByReason.merge(reason, 1L, Long::sum);
    }

    /** Adds another tally to this one. */
    public synchronized void add(ClassTally other) {
        synchronized (other) {
            mLatencyMicros.add(other.mLatencyMicros);
            mFirstTokenMicros.add(other.mFirstTokenMicros);
            other.mCountByReason.forEach(
                    (reason, reasonCount) -> mCountByReason.merge(reason, reasonCount, Long::sum));
            mSent += other.mSent;
            mUnsent += other.mUnsent;
            mOk += other.mOk;
            mLate += other.mLate;
            mRefused += other.mRefused;
            mCut += other.mCut;
            mUnreachable += other.mUnreachable;
            mInvalid += other.mInvalid;
            mTokens += other.mTokens;
        }
    }

    /** Returns the fraction of arrivals that were answered completely within the deadline. */
    public synchronized double attainment() {
        long arrivals = mSent + mUnsent;
        return arrivals == 0 ? 1 : (double) mOk / arrivals;
    }

    /** Returns the number of answers that violate the caller protocol. */
    public synchronized long invalid() {
        return mInvalid;
    }

    /**
     * Returns the number of requests whose connection ended, or whose time limit passed, before the
     * answer was complete.
     */
    public synchronized long cut() {
        return mCut;
    }

    /** Returns true if requests were sent and no connection could be made for any of them. */
    public synchronized boolean isUnreachable() {
        return mSent > 0 && mUnreachable == mSent;
    }

    /** Returns a copy of the latencies in microseconds. */
    public synchronized Histogram latency() {
        return mLatencyMicros.copy();
    }

    /** Returns the counts and two latency percentiles as one line of text. */
    public synchronized String summaryLine() {
        return String.format(
                "sent=%d ok=%d late=%d refused=%d cut=%d unreachable=%d invalid=%d unsent=%d"
                        + " p50=%.1fms p99=%.1fms",
                mSent,
                mOk,
                mLate,
                mRefused,
                mCut,
                mUnreachable,
                mInvalid,
                mUnsent,
                mLatencyMicros.getValueAtPercentile(50) / 1000.0,
                mLatencyMicros.getValueAtPercentile(99) / 1000.0);
    }

    /** Returns the counts and percentiles. */
    public synchronized ObjectNode toJson() {
        ObjectNode json = RunReport.emptyJson();
        json.put("sent", mSent)
                .put("ok", mOk)
                .put("late", mLate)
                .put("refused", mRefused)
                .put("cut", mCut)
                .put("unreachable", mUnreachable)
                .put("invalid", mInvalid)
                .put("unsent", mUnsent)
                .put("tokens", mTokens)
                .put("attainment", attainment());
        ObjectNode reasons = json.putObject("reasons");
        mCountByReason.forEach(reasons::put);
        addPercentiles(json.putObject("latency_ms"), mLatencyMicros);
        addPercentiles(json.putObject("first_token_ms"), mFirstTokenMicros);
        return json;
    }

    private static void addPercentiles(ObjectNode json, Histogram histogram) {
        for (double percentile : PERCENTILES) {
            String name = percentile == 100 ? "max" : "p" + formatPercentile(percentile);
            json.put(name, histogram.getValueAtPercentile(percentile) / 1000.0);
        }
    }

    private static String formatPercentile(double percentile) {
        return percentile == Math.rint(percentile)
                ? Long.toString((long) percentile)
                : Double.toString(percentile);
    }
}
