package org.bulrushvale.decision.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.decision.membership.SharedRecords;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Finds the content that crashes backend servers among all that the requests beside a crash hold,
 * such as one part of a prompt that many different requests share.
 *
 * <p>Content is quarantined after a chain of crashes without a complete answer between them. Each
 * crash of a chain happened to an attempt that began when the crash before it was known, so servers
 * that end at the same time for another reason count as one. Content that has been answered before
 * needs a longer chain than content that was never answered, and content beside quarantined content
 * is not blamed.
 *
 * <p>Contents that occur only together reach the same chain, although one of them may be sound. A
 * request that holds one of them without the others is sent to a server as a trial: an answer
 * releases the content, a crash shows that it is the cause.
 *
 * <p>Invariants: the order in which records of other entries arrive does not matter; an answer
 * refutes all crashes before it for good; the table holds at most {@value #MAX_HISTORIES}
 * histories. Thread safety: not safe; used by the event loop.
 */
public final class CrashSuspects implements SharedRecords<CrashRecord> {
    /** Time since its last crash after which content is no longer quarantined. */
    public static final Duration LIFETIME = Duration.ofMinutes(15);

    /** Time after which a crash is forgotten that none of the next attempts repeated. */
    static final Duration SINGLE_CRASH_LIFETIME = Duration.ofMinutes(2);

    /** Records that entries exchange in one message: about 10 KB at 150 bytes per record. */
    public static final int MAX_RECORDS_PER_NOTICE = 64;

    /** Limits the memory of the table to about 1 MB. */
    public static final int MAX_HISTORIES = 2_048;

    /** Crashes in a row after which content that was never answered is quarantined. */
    static final int CHAIN_OF_UNANSWERED = 3;

    /** Crashes in a row after which content that was answered before is quarantined. */
    static final int CHAIN_OF_ANSWERED = 5;

    private static final int MAX_PROCESS_NAME_LENGTH = 192;

    // How often the digest is computed anew, because histories expire.
    private static final Duration DIGEST_PERIOD = Duration.ofSeconds(1);

    // Longer than a server takes to begin an answer.
    private static final Duration TRIAL_TIME = Duration.ofSeconds(5);

    private final Clock mClock;
    private final Map<ContentFingerprint, CrashHistory> mHistories = new HashMap<>();
    private final Map<ContentFingerprint, Trial> mTrials = new HashMap<>();
    private final CrashTimes mTimes = new CrashTimes();
    private long mKnownCrashes;
    private long mRecordsCalls;
    private long mDigest;
    private long mDigestNanos;
    private boolean mDigestIsCurrent;

    /** Creates an empty table. */
    public CrashSuspects(Clock clock) {
        mClock = clock;
    }

    /** Returns true when no content is suspect, so that requests need not be examined. */
    @Override
    public boolean isEmpty() {
        return mHistories.isEmpty();
    }

    /** Returns true when the content is quarantined. */
    public boolean isQuarantined(ContentFingerprint content) {
        CrashHistory history = findUnexpired(content);
        return history != null && isQuarantined(content, history);
    }

    /** Returns true when one of the contents was at a crash that no answer has refuted. */
    public boolean isSuspect(Collection<ContentFingerprint> contents) {
        return contents.stream().anyMatch(content -> findUnexpired(content) != null);
    }

    private boolean isQuarantined(ContentFingerprint content, CrashHistory history) {
        int chain = mTimes.wasAnswered(content) ? CHAIN_OF_ANSWERED : CHAIN_OF_UNANSWERED;
        return history.depth() >= chain;
    }

    /**
     * Returns a quarantined content for which a request with these contents must not be sent to a
     * server; empty when there is none or the request may be sent as a trial.
     *
     * @param request identity of the request
     */
    public Optional<ContentFingerprint> findHeldBack(
            Collection<ContentFingerprint> contents, Object request) {
        return contents.stream()
                .filter(content -> isQuarantined(content) && !mayTry(content, contents, request))
                .findFirst();
    }

    private boolean mayTry(
            ContentFingerprint content, Collection<ContentFingerprint> contents, Object request) {
        Trial trial = mTrials.get(content);
        if (trial != null
                && trial.request() != request
                && mClock.elapsedSince(trial.startNanos()).compareTo(TRIAL_TIME) < 0) {
            return false;
        }
        List<ContentFingerprint> rivals = rivals(content);
        return !rivals.isEmpty() && rivals.stream().noneMatch(contents::contains);
    }

    /** Returns the other quarantined contents that were beside all crashes of a content. */
    private List<ContentFingerprint> rivals(ContentFingerprint content) {
        List<ContentFingerprint> rivals = new ArrayList<>();
        CrashHistory own = findUnexpired(content);
        if (own == null) {
            return rivals;
        }
        mHistories.forEach(
                (other, history) -> {
                    if (!other.equals(content)
                            && isQuarantined(other, history)
                            && history.processes().containsAll(own.processes())) {
                        rivals.add(other);
                    }
                });
        return rivals;
    }

    /**
     * Records that an attempt with these contents begins.
     *
     * @param request identity of the request
     * @return the number of crashes known so far, to be kept with the attempt
     */
    public long onAttemptStarted(Collection<ContentFingerprint> contents, Object request) {
        Trial trial = new Trial(request, mClock.monotonicNanos());
        contents.stream()
                .filter(this::isQuarantined)
                .forEach(content -> mTrials.put(content, trial));
        return mKnownCrashes;
    }

    /**
     * Records that a process crashed while it had an attempt with these contents.
     *
     * @param knownAtStart result of {@link #onAttemptStarted} for the attempt
     * @return the records that changed, for the other entries
     */
    public List<CrashRecord> onCrash(
            Collection<ContentFingerprint> contents, String process, long knownAtStart) {
        if (process.length() > MAX_PROCESS_NAME_LENGTH) {
            return List.of();
        }
        mTimes.onCrash(process, mClock.monotonicNanos());
        List<ContentFingerprint> blamed = contents.stream().filter(this::isQuarantined).toList();
        List<CrashRecord> changed = new ArrayList<>();
        for (ContentFingerprint content : blamed.isEmpty() ? contents : blamed) {
            mTrials.remove(content);
            CrashHistory history = findOrCreate(content);
            if (add(history, process, history.depthAfter(process, knownAtStart))) {
                changed.add(record(content));
            }
        }
        return changed;
    }

    /**
     * Records a complete answer to a request with these contents.
     *
     * @return the records that changed, for the other entries
     */
    public List<CrashRecord> onAnswered(Collection<ContentFingerprint> contents) {
        List<CrashRecord> changed = new ArrayList<>();
        for (ContentFingerprint content : contents) {
            mTrials.remove(content);
            if (answer(content, mClock.monotonicNanos())) {
                changed.add(record(content));
            }
        }
        return changed;
    }

    /** Adds a crash; returns false when it is known with this depth or adds nothing. */
    private boolean add(CrashHistory history, String process, int depth) {
        if (!history.accepts(process, depth)) {
            return false;
        }
        long nanos = mTimes.onCrash(process, mClock.monotonicNanos());
        history.add(process, depth, ++mKnownCrashes, nanos);
        mDigestIsCurrent = false;
        return true;
    }

    /** Records an answer; true when it refutes a crash or is the first one of suspect content. */
    private boolean answer(ContentFingerprint content, long nanos) {
        boolean isFirst = !mTimes.wasAnswered(content);
        CrashHistory history = findUnexpired(content);
        if (!mTimes.onAnswered(content, nanos) || history == null) {
            return false;
        }
        mDigestIsCurrent = false;
        boolean refutes = history.removeIf(process -> mTimes.isRefuted(content, process));
        if (history.isEmpty()) {
            mHistories.remove(content);
        }
        return refutes || isFirst;
    }

    @Override
    public Merged<CrashRecord> merge(Collection<CrashRecord> records) {
        Set<ContentFingerprint> changed = new LinkedHashSet<>();
        Set<ContentFingerprint> corrections = new LinkedHashSet<>();
        for (CrashRecord record : records) {
            ContentFingerprint content = record.content();
            record.answeredAgeMillis()
                    .ifPresent(
                            age -> {
                                if (answer(content, nanosAgo(Math.max(0, age)))) {
                                    changed.add(content);
                                }
                            });
            for (CrashRecord.Crash crash : record.crashes()) {
                if (!isAcceptable(crash)) {
                    continue;
                }
                mTimes.onCrash(crash.process(), nanosAgo(crash.ageMillis()));
                if (mTimes.isRefuted(content, crash.process())) {
                    corrections.add(content);
                } else if (add(findOrCreate(content), crash.process(), crash.depth())) {
                    changed.add(content);
                }
            }
        }
        return new Merged<>(
                changed.stream().map(this::record).toList(),
                corrections.stream().map(this::record).toList());
    }

    private static boolean isAcceptable(CrashRecord.Crash crash) {
        return crash.depth() > 0
                && crash.ageMillis() >= 0
                && crash.ageMillis() < LIFETIME.toMillis()
                && crash.process().length() <= MAX_PROCESS_NAME_LENGTH;
    }

    private long nanosAgo(long millis) {
        return mClock.nanosBefore(Duration.ofMillis(millis));
    }

    /**
     * Returns at most {@code limit} records: those of quarantined content first, then others that
     * differ from call to call.
     */
    @Override
    public List<CrashRecord> records(int limit) {
        removeExpired();
        LongHashFunction shuffle = LongHashFunction.xx(mRecordsCalls++);
        Comparator<Map.Entry<ContentFingerprint, CrashHistory>> order =
                Comparator.comparing(e -> !isQuarantined(e.getKey(), e.getValue()));
        return mHistories.entrySet().stream()
                .sorted(order.thenComparingLong(e -> shuffle.hashLong(e.getKey().low())))
                .limit(limit)
                .map(entry -> record(entry.getKey()))
                .toList();
    }

    @Override
    public long digest() {
        long now = mClock.monotonicNanos();
        if (!mDigestIsCurrent || now - mDigestNanos > DIGEST_PERIOD.toNanos()) {
            removeExpired();
            mDigest = 0;
            mHistories.forEach(
                    (content, history) -> {
                        long answered = mTimes.wasAnswered(content) ? 1 : 0;
                        LongHashFunction hash = LongHashFunction.xx(content.low());
                        mDigest += hash.hashLong(history.digest() + answered);
                    });
            mDigestNanos = now;
            mDigestIsCurrent = true;
        }
        return mDigest;
    }

    private CrashRecord record(ContentFingerprint content) {
        long now = mClock.monotonicNanos();
        List<CrashRecord.Crash> crashes = new ArrayList<>();
        CrashHistory history = mHistories.get(content);
        if (history != null) {
            history.forEach(
                    (process, depth) -> {
                        long age = millisBetween(mTimes.onCrash(process, now), now);
                        crashes.add(new CrashRecord.Crash(process, depth, age));
                    });
        }
        OptionalLong answered = mTimes.answeredNanos(content);
        return new CrashRecord(
                content,
                crashes,
                answered.isPresent()
                        ? OptionalLong.of(millisBetween(answered.getAsLong(), now))
                        : answered);
    }

    private static long millisBetween(long nanos, long now) {
        return Math.max(0, Duration.ofNanos(now - nanos).toMillis());
    }

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
        if (mHistories.size() >= MAX_HISTORIES) {
            removeExpired();
            evictOne();
        }
        CrashHistory history = new CrashHistory(mClock.monotonicNanos());
        mHistories.put(content, history);
        return history;
    }

    private boolean isExpired(CrashHistory history) {
        Duration lifetime = history.depth() > 1 ? LIFETIME : SINGLE_CRASH_LIFETIME;
        return history.isOlderThan(lifetime, mClock.monotonicNanos());
    }

    private void removeExpired() {
        mHistories.values().removeIf(this::isExpired);
        mTrials.keySet().retainAll(mHistories.keySet());
    }

    /** Makes room in a full table: content that is not quarantined goes first, then the oldest. */
    private void evictOne() {
        long now = mClock.monotonicNanos();
        Comparator<Map.Entry<ContentFingerprint, CrashHistory>> order =
                Comparator.comparing(e -> isQuarantined(e.getKey(), e.getValue()));
        mHistories.entrySet().stream()
                .min(order.thenComparingLong(e -> e.getValue().lastCrashNanos() - now))
                .filter(entry -> mHistories.size() >= MAX_HISTORIES)
                .ifPresent(entry -> mHistories.remove(entry.getKey()));
        mDigestIsCurrent = false;
    }

    /**
     * A request that is sent although it holds quarantined content.
     *
     * <p>Thread safety: immutable.
     */
    private record Trial(Object request, long startNanos) {}
}
