package org.bulrushvale.decision.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Finds request content that crashes backend servers (poison), without refusing content that merely
 * ran next to it.
 *
 * <p>All content in flight on a server that crashes becomes suspect. Suspect content never runs
 * next to other suspect content. When it completes, it is cleared of the crashes recorded so far.
 * When a second crash happens while it is in flight, it is confirmed as poison and refused until
 * its record expires.
 *
 * <p>Invariants: one crash counts at most once for one content, regardless of which entries report
 * it; content stays confirmed as poison until its record expires, unless a crash is withdrawn; the
 * table holds at most {@value #MAX_RECORDS} records and evicts unconfirmed content, in the order in
 * which it was added, before any confirmed poison.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class PoisonTable {
    /** Time since the last crash after which a record expires. */
    public static final Duration LIFETIME = Duration.ofMinutes(15);

    /**
     * Age from which a record is no longer exchanged. The transit time is not part of the age that
     * the receiver sees, so without this margin peers could pass an expiring record on forever.
     */
    public static final Duration MAX_EXCHANGED_AGE = LIFETIME.minusMinutes(1);

    /** Limits the table to about 1 MB at 250 bytes per record. */
    public static final int MAX_RECORDS = 4_096;

    private static final int CRASHES_TO_CONFIRM = 2;
    private static final int MAX_CRASHES_PER_RECORD = 8;
    private static final int MAX_CRASH_NAME_LENGTH = 192;

    private final Clock mClock;
    private final Map<ContentFingerprint, CrashHistory> mHistories = new LinkedHashMap<>();
    private final Map<String, Map<ContentFingerprint, Integer>> mInFlight = new HashMap<>();

    /** Creates an empty table. */
    public PoisonTable(Clock clock) {
        mClock = clock;
    }

    /** Records that a request with this content was sent to a server. */
    public void onStarted(ContentFingerprint content, String server) {
        mInFlight.computeIfAbsent(server, key -> new HashMap<>()).merge(content, 1, Integer::sum);
    }

    /** Records that a request with this content ended on a server, with any outcome. */
    public void onEnded(ContentFingerprint content, String server) {
        Map<ContentFingerprint, Integer> running = mInFlight.get(server);
        if (running == null) {
            return;
        }
        running.computeIfPresent(content, (key, count) -> count > 1 ? count - 1 : null);
        if (running.isEmpty()) {
            mInFlight.remove(server);
        }
    }

    /**
     * Clears the content of all crashes recorded so far, because a request with it completed. Has
     * no effect on content that is confirmed as poison.
     */
    public void onCompleted(ContentFingerprint content) {
        CrashHistory history = findUnexpired(content);
        if (history != null && !history.mConfirmed) {
            history.mCrashes.forEach(crash -> addBounded(history.mClearedCrashes, crash));
        }
    }

    /**
     * Records a crash of a server for all content in flight on it, and removes that content from
     * those in flight. Returns the records of that content, to be sent to peers.
     */
    public List<PoisonRecord> onCrash(String server, String epoch) {
        Map<ContentFingerprint, Integer> running = mInFlight.remove(server);
        if (running == null) {
            return List.of();
        }
        List<PoisonRecord> changed = new ArrayList<>();
        for (ContentFingerprint content : running.keySet()) {
            CrashHistory history = findOrCreate(content);
            if (addBounded(history.mCrashes, server + "/" + epoch)) {
                history.mLastCrashNanos = mClock.monotonicNanos();
            }
            history.confirmIfPoison();
            changed.add(record(content, history));
        }
        return changed;
    }

    /**
     * Withdraws a crash that did not happen: the connection was lost, but the server still runs.
     */
    public void retractCrash(String server, String epoch) {
        String crash = server + "/" + epoch;
        for (CrashHistory history : mHistories.values()) {
            if (history.mCrashes.remove(crash)) {
                history.mConfirmed = false;
                history.confirmIfPoison();
            }
        }
        mHistories.values().removeIf(history -> history.mCrashes.isEmpty());
    }

    /** Returns true when the content is confirmed as poison and must be refused. */
    public boolean isPoison(ContentFingerprint content) {
        CrashHistory history = findUnexpired(content);
        return history != null && history.mConfirmed;
    }

    /** Returns true when the content is suspect or confirmed as poison. */
    public boolean isSuspect(ContentFingerprint content) {
        CrashHistory history = findUnexpired(content);
        return history != null && history.isSuspect();
    }

    /**
     * Returns true when the content may be sent to a server. Suspect content runs on one server at
     * a time and never next to other suspect content, so that the next crash has a single cause.
     */
    public boolean mayStart(ContentFingerprint content, String server) {
        if (!isSuspect(content)) {
            return true;
        }
        if (isPoison(content)) {
            return false;
        }
        for (Map<ContentFingerprint, Integer> running : mInFlight.values()) {
            if (running.containsKey(content)) {
                return false;
            }
        }
        return mInFlight.getOrDefault(server, Map.of()).keySet().stream()
                .noneMatch(this::isSuspect);
    }

    /** Merges the records of a peer; returns the content that this confirms as poison. */
    public List<ContentFingerprint> merge(List<PoisonRecord> records) {
        List<ContentFingerprint> newlyConfirmed = new ArrayList<>();
        for (PoisonRecord record : records) {
            if (record.ageMs() < 0 || record.ageMs() >= MAX_EXCHANGED_AGE.toMillis()) {
                continue;
            }
            boolean wasPoison = isPoison(record.fingerprint());
            CrashHistory history = findUnexpired(record.fingerprint());
            boolean isNew = history == null;
            if (history == null) {
                history = findOrCreate(record.fingerprint());
            }
            if (history.merge(record) || isNew) {
                // Only new information changes the age, so that peers which repeat a record do
                // not keep it from expiring.
                long crashNanos = mClock.nanosBefore(Duration.ofMillis(record.ageMs()));
                history.mLastCrashNanos =
                        isNew ? crashNanos : Math.max(history.mLastCrashNanos, crashNanos);
            }
            if (!wasPoison && history.mConfirmed) {
                newlyConfirmed.add(record.fingerprint());
            }
        }
        return newlyConfirmed;
    }

    /** Returns all records that are recent enough to be sent to peers. */
    public List<PoisonRecord> records() {
        removeExpired();
        List<PoisonRecord> all = new ArrayList<>(mHistories.size());
        mHistories.forEach((content, history) -> all.add(record(content, history)));
        all.removeIf(record -> record.ageMs() >= MAX_EXCHANGED_AGE.toMillis());
        return all;
    }

    private PoisonRecord record(ContentFingerprint content, CrashHistory history) {
        long ageMs = mClock.elapsedSince(history.mLastCrashNanos).toMillis();
        return new PoisonRecord(
                content, history.mCrashes, history.mClearedCrashes, history.mConfirmed, ageMs);
    }

    /** Returns the history of the content, or null when there is none or it has expired. */
    private @Nullable CrashHistory findUnexpired(ContentFingerprint content) {
        CrashHistory history = mHistories.get(content);
        if (history != null && isExpired(history)) {
            mHistories.remove(content);
            return null;
        }
        return history;
    }

    private CrashHistory findOrCreate(ContentFingerprint content) {
        CrashHistory known = findUnexpired(content);
        if (known != null) {
            return known;
        }
        if (mHistories.size() >= MAX_RECORDS) {
            removeExpired();
            evictOldest();
        }
        CrashHistory history = new CrashHistory(mClock.monotonicNanos());
        mHistories.put(content, history);
        return history;
    }

    private boolean isExpired(CrashHistory history) {
        return mClock.elapsedSince(history.mLastCrashNanos).compareTo(LIFETIME) >= 0;
    }

    private void removeExpired() {
        mHistories.values().removeIf(this::isExpired);
    }

    /**
     * When the table is full, evicts the content that was added first among those not confirmed as
     * poison, or among all when all are confirmed.
     */
    private void evictOldest() {
        if (mHistories.size() < MAX_RECORDS) {
            return;
        }
        ContentFingerprint victim = null;
        for (Map.Entry<ContentFingerprint, CrashHistory> entry : mHistories.entrySet()) {
            if (victim == null) {
                victim = entry.getKey();
            }
            if (!entry.getValue().mConfirmed) {
                victim = entry.getKey();
                break;
            }
        }
        mHistories.remove(victim);
    }

    private static boolean addBounded(Set<String> crashes, String crash) {
        return crash.length() <= MAX_CRASH_NAME_LENGTH
                && crashes.size() < MAX_CRASHES_PER_RECORD
                && crashes.add(crash);
    }

    /** Crashes recorded for one content, and whether it is confirmed as poison. */
    private static final class CrashHistory {
        private final Set<String> mCrashes = new LinkedHashSet<>();
        private final Set<String> mClearedCrashes = new LinkedHashSet<>();
        private boolean mConfirmed;
        private long mLastCrashNanos;

        private CrashHistory(long now) {
            mLastCrashNanos = now;
        }

        private boolean isSuspect() {
            return mConfirmed || !mClearedCrashes.containsAll(mCrashes);
        }

        private void confirmIfPoison() {
            long uncleared =
                    mCrashes.stream().filter(crash -> !mClearedCrashes.contains(crash)).count();
            mConfirmed |= uncleared >= CRASHES_TO_CONFIRM;
        }

        /** Merges a record of a peer; returns true when it has a new crash or confirmation. */
        private boolean merge(PoisonRecord record) {
            boolean changed = record.confirmedPoison() && !mConfirmed;
            mConfirmed |= record.confirmedPoison();
            for (String crash : record.clearedCrashes()) {
                addBounded(mClearedCrashes, crash);
            }
            for (String crash : record.crashes()) {
                changed |= addBounded(mCrashes, crash);
            }
            confirmIfPoison();
            return changed;
        }
    }
}
