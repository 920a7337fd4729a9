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
 * Prompt prefixes in limited memory, least recently used first out, with an event log that lags and
 * has gaps.
 *
 * <p>Invariant: the stored prefixes never exceed the memory limit; sequence numbers of events only
 * increase, and a lost event leaves its number unused. Thread safety: confined to the endpoint's
 * thread.
 */
final class PrefixCache {
    private static final int MAX_EVENTS = 4096;
    // Key and value tensors take far more memory than the text they stand for.
    private static final long BYTES_PER_CHAR = 1024;

    private record Event(long seq, long visibleNanos, String op, String prefix, boolean lost) {}

    private final long mLimit;
    private final SplittableRandom mRandom;
    private final Map<String, Long> mPrefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Event> mEvents = new ArrayDeque<>();
    private long mBytes;
    private long mSequence;

    PrefixCache(long limit, SplittableRandom random) {
        mLimit = limit;
        mRandom = random;
    }

    /** Returns true when the prefix is present; stores it otherwise. */
    boolean use(String prefix, long nowNanos, FaultSettings faults) {
        if (prefix.isEmpty() || mLimit == 0) {
            return false;
        }
        if (mPrefixes.get(prefix) != null) {
            return true;
        }
        long size = prefix.length() * BYTES_PER_CHAR;
        if (size > mLimit) {
            return false;
        }
        Iterator<Map.Entry<String, Long>> oldest = mPrefixes.entrySet().iterator();
        while (mBytes + size > mLimit) {
            Map.Entry<String, Long> evicted = oldest.next();
            mBytes -= evicted.getValue();
            log("evict", evicted.getKey(), nowNanos, faults);
            oldest.remove();
        }
        mPrefixes.put(prefix, size);
        mBytes += size;
        log("add", prefix, nowNanos, faults);
        return false;
    }

    private void log(String op, String prefix, long nowNanos, FaultSettings faults) {
        boolean lost = mRandom.nextDouble() < faults.cacheGapFraction();
        long visible = nowNanos + faults.cacheLagMs() * 1_000_000;
        mEvents.addLast(new Event(++mSequence, visible, op, prefix, lost));
        if (mEvents.size() > MAX_EVENTS) {
            mEvents.removeFirst();
        }
    }

    /** Returns the visible events after a sequence number. */
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

    /** Forgets everything, as a restarted process does. */
    void clear() {
        mPrefixes.clear();
        mEvents.clear();
        mBytes = 0;
        mSequence = 0;
    }

    long bytes() {
        return mBytes;
    }
}
