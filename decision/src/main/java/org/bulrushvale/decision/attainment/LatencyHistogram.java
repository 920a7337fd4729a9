package org.bulrushvale.decision.attainment;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Base64;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/**
 * Latency histogram that can be encoded as text and merged with others.
 *
 * <p>Invariant: all histograms have the same range and precision (1 ms to 120 s, two digits), so a
 * merge loses no information. Thread safety: not safe; owned by the event loop, or by one thread
 * after it was parsed from JSON.
 */
public final class LatencyHistogram {
    private static final long MAX_LATENCY_MS = 120_000;
    private static final int MAX_ENCODED_CHARS = 1 << 17;
    private static final double PERCENT_PER_UNIT = 100.0;

    private final Histogram mHistogram = new Histogram(MAX_LATENCY_MS, 2);

    /** Creates an empty histogram. */
    public LatencyHistogram() {}

    /** Parses the text that {@link #encode()} returns. */
    @JsonCreator
    public static LatencyHistogram decode(String text) {
        if (text.length() > MAX_ENCODED_CHARS) {
            throw new IllegalArgumentException(
                    "encoded latency histogram is longer than 131072 characters");
        }
        try {
            ByteBuffer bytes = ByteBuffer.wrap(Base64.getDecoder().decode(text));
            LatencyHistogram latency = new LatencyHistogram();
            latency.addAll(Histogram.decodeFromCompressedByteBuffer(bytes, MAX_LATENCY_MS));
            return latency;
        } catch (DataFormatException | RuntimeException e) {
            throw new IllegalArgumentException("encoded latency histogram is malformed", e);
        }
    }

    /** Returns the compressed form of the histogram in Base64. */
    @JsonValue
    public String encode() {
        ByteBuffer bytes = ByteBuffer.allocate(mHistogram.getNeededByteBufferCapacity());
        int length = mHistogram.encodeIntoCompressedByteBuffer(bytes);
        byte[] used = new byte[length];
        bytes.rewind().get(used);
        return Base64.getEncoder().encodeToString(used);
    }

    /** Records one latency; values above the range are recorded as its upper limit. */
    public void record(Duration latency) {
        mHistogram.recordValue(Math.max(0, Math.min(latency.toMillis(), MAX_LATENCY_MS)));
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

    /**
     * Returns a quantile of the recorded values; zero when there are none.
     *
     * @param quantile fraction in (0, 1]
     */
    public Duration quantile(double quantile) {
        return Duration.ofMillis(mHistogram.getValueAtPercentile(quantile * PERCENT_PER_UNIT));
    }
}
