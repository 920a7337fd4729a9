package org.bulrushvale.decision.attainment;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Base64;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/**
 * A latency histogram that can be sent and merged.
 *
 * <p>Invariant: all histograms have the same range and precision (1 ms to 120 s, two digits), so a
 * merge loses nothing. Thread safety: not safe; owned by the event loop, or by one reader once it
 * was read from JSON.
 */
public final class LatencyHistogram {
    private static final long MAX_MS = 120_000;
    private static final int MAX_ENCODED = 1 << 17;
    private static final double PERCENT = 100.0;

    private final Histogram mHistogram = new Histogram(MAX_MS, 2);

    /** Creates an empty histogram. */
    public LatencyHistogram() {}

    /** Reads the text that {@link #encode()} writes. */
    @JsonCreator
    public static LatencyHistogram decode(String text) {
        if (text.length() > MAX_ENCODED) {
            throw new IllegalArgumentException("latency histogram too large");
        }
        try {
            ByteBuffer bytes = ByteBuffer.wrap(Base64.getDecoder().decode(text));
            LatencyHistogram latency = new LatencyHistogram();
            latency.addAll(Histogram.decodeFromCompressedByteBuffer(bytes, MAX_MS));
            return latency;
        } catch (DataFormatException | RuntimeException e) {
            throw new IllegalArgumentException("latency histogram malformed", e);
        }
    }

    /** Returns the histogram as Base64 of its compressed form. */
    @JsonValue
    public String encode() {
        ByteBuffer bytes = ByteBuffer.allocate(mHistogram.getNeededByteBufferCapacity());
        int length = mHistogram.encodeIntoCompressedByteBuffer(bytes);
        byte[] used = new byte[length];
        bytes.rewind().get(used);
        return Base64.getEncoder().encodeToString(used);
    }

    /** Records one latency. */
    public void record(Duration latency) {
        mHistogram.recordValue(Math.max(0, Math.min(latency.toMillis(), MAX_MS)));
    }

    /** Adds the values of another histogram. */
    public void addAll(LatencyHistogram other) {
        addAll(other.mHistogram);
    }

    private void addAll(Histogram other) {
        mHistogram.add(other);
    }

    /** Returns the number of recorded values. */
    public long count() {
        return mHistogram.getTotalCount();
    }

    /** Returns a quantile in (0, 1]; zero when nothing was recorded. */
    public Duration quantile(double quantile) {
        return Duration.ofMillis(mHistogram.getValueAtPercentile(quantile * PERCENT));
    }
}
