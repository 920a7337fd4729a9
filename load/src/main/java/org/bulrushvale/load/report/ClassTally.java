package org.bulrushvale.load.report;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.bulrushvale.load.client.EntryClient.Result;
import org.bulrushvale.load.client.Outcome;

/**
 * Counts and latencies of one class.
 *
 * <p>Invariant: {@code sent = ok + late + refused + cut + unreachable + invalid} once every request
 * has ended; requests that the tool itself could not send count as unsent. Latencies run from the
 * intended start, so that a stalled entry cannot hide its own delay. Thread safety: safe for use by
 * any thread.
 */
public final class ClassTally {
    private static final long MAX_MICROS = Duration.ofMinutes(10).toNanos() / 1000;
    private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9, 100};

    private final Histogram mLatency = new Histogram(MAX_MICROS, 3);
    private final Histogram mFirstToken = new Histogram(MAX_MICROS, 3);
    private final Map<String, Long> mReasons = new TreeMap<>();
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
    public synchronized void sent() {
        mSent++;
    }

    /** Counts an arrival that exceeded the tool's limit of requests in flight. */
    public synchronized void unsent() {
        mUnsent++;
    }

    /** Counts a finished request. */
    public synchronized void finished(Result result, long intendedNanos, Duration deadline) {
        long nanos = Math.max(0, result.endNanos() - intendedNanos);
        Outcome outcome = result.outcome();
        switch (outcome.kind()) {
            case COMPLETE -> {
                complete(nanos, deadline);
                mTokens += outcome.tokens();
                if (result.firstTokenNanos() != 0) {
                    record(mFirstToken, Math.max(0, result.firstTokenNanos() - intendedNanos));
                }
            }
            case REFUSED -> {
                mRefused++;
                count("refused " + outcome.verdict() + " " + outcome.code());
            }
            case CUT -> {
                mCut++;
                count("cut: " + outcome.code());
            }
            case UNREACHABLE -> {
                mUnreachable++;
                count("unreachable: " + outcome.code());
            }
            case INVALID -> {
                mInvalid++;
                count("invalid: " + outcome.code());
            }
            default -> throw new IllegalStateException("unknown outcome");
        }
    }

    private void complete(long nanos, Duration deadline) {
        record(mLatency, nanos);
        if (nanos <= deadline.toNanos()) {
            mOk++;
        } else {
            mLate++;
        }
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.min(MAX_MICROS, nanos / 1000));
    }

    private void count(String reason) {
        mReasons.merge(reason, 1L, Long::sum);
    }

    /** Adds another tally to this one. */
    public synchronized void add(ClassTally other) {
        synchronized (other) {
            mLatency.add(other.mLatency);
            mFirstToken.add(other.mFirstToken);
            other.mReasons.forEach((reason, n) -> mReasons.merge(reason, n, Long::sum));
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

    /** Returns the number of answers that break the protocol. */
    public synchronized long invalid() {
        return mInvalid;
    }

    /** Returns the number of requests whose connection ended before the answer. */
    public synchronized long cut() {
        return mCut;
    }

    /** Returns true when requests were sent and none reached an entry. */
    public synchronized boolean isUnreachable() {
        return mSent > 0 && mUnreachable == mSent;
    }

    /** Returns a copy of the latencies in microseconds. */
    public synchronized Histogram latency() {
        return mLatency.copy();
    }

    /** Returns a short line of the counts. */
    public synchronized String line() {
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
                mLatency.getValueAtPercentile(50) / 1000.0,
                mLatency.getValueAtPercentile(99) / 1000.0);
    }

    /** Returns the counts and percentiles. */
    public synchronized ObjectNode toJson() {
        ObjectNode json = RunReport.object();
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
        mReasons.forEach(reasons::put);
        percentiles(json.putObject("latency_ms"), mLatency);
        percentiles(json.putObject("first_token_ms"), mFirstToken);
        return json;
    }

    private static void percentiles(ObjectNode json, Histogram histogram) {
        for (double percentile : PERCENTILES) {
            String name = percentile == 100 ? "max" : "p" + trimmed(percentile);
            json.put(name, histogram.getValueAtPercentile(percentile) / 1000.0);
        }
    }

    private static String trimmed(double percentile) {
        return percentile == Math.rint(percentile)
                ? Long.toString((long) percentile)
                : Double.toString(percentile);
    }
}
