package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bulrushvale.kernel.time.Clock;

/**
 * The prompt prefixes that this entry sent to backend servers lately, which are probably still in
 * their caches.
 *
 * <p>Thread safety: not safe; used by the event loop.
 */
final class SentPrompts {
    // The shortest time for which servers keep a prompt part that is not used again.
    private static final Duration REUSE_WINDOW = Duration.ofSeconds(7);
    private static final int MAX_PROMPTS = 4_096;

    private final Clock mClock;
    private final Map<String, Long> mSentNanos = new LinkedHashMap<>();

    SentPrompts(Clock clock) {
        mClock = clock;
    }

    void record(String process, String affinity) {
        String key = process + "\n" + affinity;
        mSentNanos.remove(key);
        mSentNanos.put(key, mClock.monotonicNanos());
        if (mSentNanos.size() > MAX_PROMPTS) {
            mSentNanos.remove(mSentNanos.keySet().iterator().next());
        }
    }

    boolean contains(String process, String affinity) {
        Long sent = mSentNanos.get(process + "\n" + affinity);
        return sent != null && mClock.monotonicNanos() - sent < REUSE_WINDOW.toNanos();
    }
}
