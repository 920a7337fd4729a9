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
 * Finds the content that crashes backend servers without blaming what ran next to it.
 *
 * <p>The requests in flight on a server that crashes become suspects. A suspect runs alone among
 * suspects; when it completes it is cleared, and when a second server crashes under it, it is
 * convicted and refused for the lifetime.
 *
 * <p>Invariants: one crash gives one content at most one strike, whoever reports it; a conviction
 * lasts until its lifetime ends; the table holds at most {@value #MAX_RECORDS} records and drops
 * the oldest suspects before any conviction.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class PoisonTable {
    /** Time since the last strike after which a record is forgotten. */
    public static final Duration LIFETIME = Duration.ofMinutes(15);

    /**
     * Age from which a record is no longer exchanged. Transit time makes a record look younger to
     * its receiver, so without this margin peers could pass an expiring record on for ever.
     */
    public static final Duration MAX_EXCHANGED_AGE = LIFETIME.minusMinutes(1);

    /** About 1 MB at 250 bytes per record. */
    public static final int MAX_RECORDS = 4_096;

    private static final int CONVICTING_STRIKES = 2;
    private static final int MAX_CRASHES = 8;
    private static final int MAX_NAME = 192;

    private final Clock mClock;
    private final Map<ContentFingerprint, Suspect> mSuspects = new LinkedHashMap<>();
    private final Map<String, Map<ContentFingerprint, Integer>> mInFlight = new HashMap<>();

    /** Creates an empty table. */
    public PoisonTable(Clock clock) {
        mClock = clock;
    }

    /** Records that a request was sent to a server. */
    public void onStarted(ContentFingerprint content, String server) {
        mInFlight.computeIfAbsent(server, key -> new HashMap<>()).merge(content, 1, Integer::sum);
    }

    /** Records that a request left a server, whatever its outcome. */
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

    /** Clears a suspect whose request completed. */
    public void onCompleted(ContentFingerprint content) {
        Suspect suspect = live(content);
        if (suspect != null && !suspect.mConvicted) {
            suspect.mStrikes.forEach(crash -> addBounded(suspect.mCleared, crash));
        }
    }

    /**
     * Records a crash: everything in flight on the server gets a strike. Returns the records that
     * changed, for peers. The requests count as no longer in flight there.
     */
    public List<PoisonRecord> onCrash(String server, String epoch) {
        Map<ContentFingerprint, Integer> running = mInFlight.remove(server);
        if (running == null) {
            return List.of();
        }
        List<PoisonRecord> changed = new ArrayList<>();
        for (ContentFingerprint content : running.keySet()) {
            Suspect suspect = obtain(content);
            if (addBounded(suspect.mStrikes, server + "/" + epoch)) {
                suspect.mLastStrike = mClock.monotonicNanos();
            }
            suspect.judge();
            changed.add(record(content, suspect));
        }
        return changed;
    }

    /**
     * Withdraws the strikes of a crash that did not happen: the connection was lost, but the server
     * still runs.
     */
    public void retractCrash(String server, String epoch) {
        String crash = server + "/" + epoch;
        for (Suspect suspect : mSuspects.values()) {
            if (suspect.mStrikes.remove(crash)) {
                suspect.mConvicted = false;
                suspect.judge();
            }
        }
        mSuspects.values().removeIf(suspect -> suspect.mStrikes.isEmpty());
    }

    /** Returns true when the content is refused. */
    public boolean isPoison(ContentFingerprint content) {
        Suspect suspect = live(content);
        return suspect != null && suspect.mConvicted;
    }

    /** Returns true when the content has an open suspicion or a conviction. */
    public boolean isSuspect(ContentFingerprint content) {
        Suspect suspect = live(content);
        return suspect != null && suspect.isOpen();
    }

    /**
     * Returns true when the content may be sent to a server. A suspect runs on one server at a time
     * and never next to another suspect, so that the next crash has a single cause.
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

    /** Takes over what a peer knows; returns the contents that this convicts. */
    public List<ContentFingerprint> merge(List<PoisonRecord> records) {
        List<ContentFingerprint> convicted = new ArrayList<>();
        for (PoisonRecord record : records) {
            if (record.ageMs() < 0 || record.ageMs() >= MAX_EXCHANGED_AGE.toMillis()) {
                continue;
            }
            boolean before = isPoison(record.fingerprint());
            Suspect suspect = live(record.fingerprint());
            boolean isNew = suspect == null;
            if (suspect == null) {
                suspect = obtain(record.fingerprint());
            }
            if (suspect.merge(record) || isNew) {
                // Only news changes the age: peers that repeat a record must not keep it alive.
                long strike = mClock.monotonicNanos() - Duration.ofMillis(record.ageMs()).toNanos();
                suspect.mLastStrike = isNew ? strike : Math.max(suspect.mLastStrike, strike);
            }
            if (!before && suspect.mConvicted) {
                convicted.add(record.fingerprint());
            }
        }
        return convicted;
    }

    /** Returns all records that are young enough to be exchanged, for peers. */
    public List<PoisonRecord> records() {
        removeExpired();
        List<PoisonRecord> all = new ArrayList<>(mSuspects.size());
        mSuspects.forEach((content, suspect) -> all.add(record(content, suspect)));
        all.removeIf(record -> record.ageMs() >= MAX_EXCHANGED_AGE.toMillis());
        return all;
    }

    private PoisonRecord record(ContentFingerprint content, Suspect suspect) {
        long ageMs = mClock.elapsedSince(suspect.mLastStrike).toMillis();
        return new PoisonRecord(
                content, suspect.mStrikes, suspect.mCleared, suspect.mConvicted, ageMs);
    }

    private @Nullable Suspect live(ContentFingerprint content) {
        Suspect suspect = mSuspects.get(content);
        if (suspect != null && expired(suspect)) {
            mSuspects.remove(content);
            return null;
        }
        return suspect;
    }

    private Suspect obtain(ContentFingerprint content) {
        Suspect known = live(content);
        if (known != null) {
            return known;
        }
        if (mSuspects.size() >= MAX_RECORDS) {
            removeExpired();
            evictOne();
        }
        Suspect suspect = new Suspect(mClock.monotonicNanos());
        mSuspects.put(content, suspect);
        return suspect;
    }

    private boolean expired(Suspect suspect) {
        return mClock.elapsedSince(suspect.mLastStrike).compareTo(LIFETIME) >= 0;
    }

    private void removeExpired() {
        mSuspects.values().removeIf(this::expired);
    }

    private void evictOne() {
        if (mSuspects.size() < MAX_RECORDS) {
            return;
        }
        ContentFingerprint victim = null;
        for (Map.Entry<ContentFingerprint, Suspect> entry : mSuspects.entrySet()) {
            if (victim == null) {
                victim = entry.getKey();
            }
            if (!entry.getValue().mConvicted) {
                victim = entry.getKey();
                break;
            }
        }
        mSuspects.remove(victim);
    }

    private static boolean addBounded(Set<String> crashes, String crash) {
        return crash.length() <= MAX_NAME && crashes.size() < MAX_CRASHES && crashes.add(crash);
    }

    private static final class Suspect {
        private final Set<String> mStrikes = new LinkedHashSet<>();
        private final Set<String> mCleared = new LinkedHashSet<>();
        private boolean mConvicted;
        private long mLastStrike;

        private Suspect(long now) {
            mLastStrike = now;
        }

        private boolean isOpen() {
            return mConvicted || !mCleared.containsAll(mStrikes);
        }

        private void judge() {
            long open = mStrikes.stream().filter(crash -> !mCleared.contains(crash)).count();
            mConvicted |= open >= CONVICTING_STRIKES;
        }

        private boolean merge(PoisonRecord record) {
            boolean news = record.confirmedPoison() && !mConvicted;
            mConvicted |= record.confirmedPoison();
            for (String crash : record.clearedCrashes()) {
                addBounded(mCleared, crash);
            }
            for (String crash : record.crashes()) {
                news |= addBounded(mStrikes, crash);
            }
            judge();
            return news;
        }
    }
}
