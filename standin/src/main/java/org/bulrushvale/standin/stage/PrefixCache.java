package org.bulrushvale.standin.stage;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.bulrushvale.standin.http.Json;

/**
 * An LRU cache of prompt prefixes with a memory limit. It records an event for each added or
 * evicted prefix; fault settings delay events and lose some of them.
 *
 * <p>Invariant: the stored prefixes never exceed the memory limit; sequence numbers of events only
 * increase until {@link #clear}, and a lost event leaves a gap in the numbers that readers see.
 * Thread safety: confined to the endpoint's thread.
 */
final class PrefixCache {
    private static final int MAX_EVENTS = 4096;
    private static final long NANOS_PER_MILLI = 1_000_000;
    // The key and value tensors of a prefix take far more memory than its text.
    private static final long BYTES_PER_CHAR = 1024;

    private record Event(long seq, long visibleNanos, String op, String prefix, boolean lost) {}

    private final long mMaxBytes;
    private final SplittableRandom mRandom;
    private final Map<String, Long> mPrefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Event> mEvents = new ArrayDeque<>();
    private long mUsedBytes;
    private long mSequence;

    PrefixCache(long maxBytes, SplittableRandom random) {
        mMaxBytes = maxBytes;
        mRandom = random;
    }

    /**
     * Returns true when the prefix is cached. Otherwise stores it, unless it is larger than the
     * whole cache, and returns false.
     */
    boolean lookUpOrStore(String prefix, long nowNanos, FaultSettings faults) {
        if (prefix.isEmpty() || mMaxBytes == 0) {
            return false;
        }
        if (mPrefixes.get(prefix) != null) {
            return true;
        }
        long size = prefix.length() * BYTES_PER_CHAR;
        if (size > mMaxBytes) {
            return false;
        }
        Iterator<Map.Entry<String, Long>> oldest = mPrefixes.entrySet().iterator();
        while (mUsedBytes + size > mMaxBytes) {
            Map.Entry<String, Long> evicted = oldest.next();
            mUsedBytes -= evicted.getValue();
            recordEvent("evict", evicted.getKey(), nowNanos, faults);
            oldest.remove();
        }
        mPrefixes.put(prefix, size);
        mUsedBytes += size;
        recordEvent("add", prefix, nowNanos, faults);
        return false;
    }

    private void recordEvent(String op, String prefix, long nowNanos, FaultSettings faults) {
        boolean lost = mRandom.nextDouble() < faults.cacheGapFraction();
        long visible = nowNanos + faults.cacheLagMs() * NANOS_PER_MILLI;
        mEvents.addLast(new Event(++mSequence, visible, op, prefix, lost));
        if (mEvents.size() > MAX_EVENTS) {
            mEvents.removeFirst();
        }
    }

    /**
     * Returns the events after a sequence number that are visible by now, and as {@code next} the
     * number to ask from next time. Lost events advance {@code next} too.
     */
    ObjectNode events(long after, long nowNanos) {
        ObjectNode answer = Json.object();
        ArrayNode list = answer.putArray("events");
        long next = after;
        for (Event event : mEvents) {
            if (event.visibleNanos() - nowNanos > 0) {
                break;
            }
            if (event.seq() > after) {
                next = event.seq();
                if (!event.lost()) {
                    list.addObject()
                            .put("seq", event.seq())
                            .put("op", event.op())
                            .put("prefix", event.prefix());
                }
            }
        }
        return answer.put("next", next);
    }

    /** Removes all prefixes and events, as the restart of a process does. */
    void clear() {
        mPrefixes.clear();
        mEvents.clear();
        mUsedBytes = 0;
        mSequence = 0;
    }

    long usedBytes() {
        return mUsedBytes;
    }
}
