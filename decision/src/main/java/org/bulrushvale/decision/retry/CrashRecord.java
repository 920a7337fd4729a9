package org.bulrushvale.decision.retry;

import java.util.List;
import java.util.OptionalLong;

/**
 * What one entry knows about the crashes beside a content, as entries exchange it.
 *
 * <p>Thread safety: immutable.
 *
 * @param content fingerprint of a part of a prompt or of a whole request
 * @param crashes crashes of servers that were processing the content
 * @param answeredAgeMillis time since the content was last answered completely; empty when that is
 *     not known to have happened
 */
public record CrashRecord(
        ContentFingerprint content, List<Crash> crashes, OptionalLong answeredAgeMillis) {
    public CrashRecord {
        crashes = List.copyOf(crashes);
    }

    /**
     * The end of one process of a backend server.
     *
     * <p>Thread safety: immutable.
     *
     * @param process name of the process; the same at every entry
     * @param depth number of crashes in a row, this one included, each of which happened to an
     *     attempt that began when the one before it was known
     */
    public record Crash(String process, int depth, long ageMillis) {}
}
