package org.bulrushvale.decision.retry;

import java.util.Map;
import java.util.OptionalLong;

/**
 * When processes crashed and when contents were last answered, as this entry knows it.
 *
 * <p>Invariant: the time of a crash is set once, when this entry first hears of it, so an answer
 * refutes the crash for good. Thread safety: not safe.
 */
final class CrashTimes {
    private static final int MAX_ANSWERED_CONTENTS = 8_192;
    private static final int MAX_CRASHES = 2_048;

    private final Map<ContentFingerprint, Long> mAnsweredNanos =
            new LeastRecentlyUsedMap<>(MAX_ANSWERED_CONTENTS);
    private final Map<String, Long> mCrashNanos = new LeastRecentlyUsedMap<>(MAX_CRASHES);

    /** Records a crash and returns its time: {@code nanos}, unless it was known before. */
    long onCrash(String process, long nanos) {
        return mCrashNanos.computeIfAbsent(process, unknown -> nanos);
    }

    /** Records an answer; returns false when a later one is known. */
    boolean onAnswered(ContentFingerprint content, long nanos) {
        Long known = mAnsweredNanos.get(content);
        if (known != null && known - nanos >= 0) {
            return false;
        }
        mAnsweredNanos.put(content, nanos);
        return true;
    }

    boolean wasAnswered(ContentFingerprint content) {
        return mAnsweredNanos.containsKey(content);
    }

    OptionalLong answeredNanos(ContentFingerprint content) {
        Long nanos = mAnsweredNanos.get(content);
        return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
    }

    /** Returns true when the content was answered after the process had crashed. */
    boolean isRefuted(ContentFingerprint content, String process) {
        Long answered = mAnsweredNanos.get(content);
        Long crashed = mCrashNanos.get(process);
        return answered != null && crashed != null && answered - crashed >= 0;
    }
}
