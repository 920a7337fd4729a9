package org.bulrushvale.decision.keys;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Records of the keys of one key space, on the process that holds the space.
 *
 * <pre>{@code
 * KeyDecision decision = ledger.decide(key, fingerprint);
 * if (decision.kind() == KeyDecision.Kind.RUN) {
 *     // run the request, then exactly once:
 *     ledger.recordOutcome(key, KeyOutcome.done(200, output));
 * }
 * }</pre>
 *
 * <p>Invariants: between two {@code RUN} decisions for one key there is an outcome {@code NOT_RUN};
 * a key without a record runs only within {@link #FIRST_RUN_WINDOW} of its issue, and records are
 * kept for longer than that, so that a key cannot run again after its record was removed; after the
 * handover of the space, no key runs.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class KeyLedger {
    /** Time after its issue within which a key can run for the first time. */
    public static final Duration FIRST_RUN_WINDOW = Duration.ofMinutes(15);

    /** Time after the issue of a key for which its record is kept. */
    public static final Duration RECORD_LIFETIME = FIRST_RUN_WINDOW.multipliedBy(2);

    /**
     * Maximum number of records of one space. An encoded record without output has 41 bytes, so a
     * full space still fits into one peer frame of 1 MiB.
     */
    public static final int MAX_RECORDS = 20_000;

    private final long mSpace;
    private final KeySpaceClock mKeySpaceClock;
    private final KeyMemoryBudget mMemory;
    private final Map<Long, KeyRecord> mRecords = new HashMap<>();
    // Contains each record as first stored; the order depends only on issue time and sequence.
    private final TreeSet<KeyRecord> mRecordsByAge =
            new TreeSet<>(
                    Comparator.comparingLong(KeyRecord::issuedMillis)
                            .thenComparingLong(KeyRecord::sequence));
    private State mState = State.ADMITTING;
    // Time on the clock of the space after which no key was issued; negative while keys are issued.
    private long mIssueEndMillis = -1;
    private int mRunning;

    KeyLedger(long space, KeySpaceClock spaceClock, KeyMemoryBudget memory) {
        mSpace = space;
        mKeySpaceClock = spaceClock;
        mMemory = memory;
    }

    /** Creates the ledger of an offered space; null when its records exceed the memory limit. */
    static @Nullable KeyLedger restore(
            KeySpaceOffer offer, KeySpaceClock spaceClock, KeyMemoryBudget memory) {
        if (!memory.reserveRecords(offer.records().size())) {
            return null;
        }
        KeyLedger ledger = new KeyLedger(offer.space(), spaceClock, memory);
        ledger.mIssueEndMillis = offer.issueEndMillis();
        for (KeyRecord record : offer.records()) {
            KeyRecord kept = record;
            if (kept.outcome() != null && !memory.reserveOutput(kept.outputChars())) {
                kept = kept.withOutcome(kept.outcome().withoutOutput());
            }
            ledger.mRecords.put(kept.sequence(), kept);
            ledger.mRecordsByAge.add(kept);
        }
        return ledger;
    }

    /** Returns the incarnation that issued the keys of this space. */
    public long space() {
        return mSpace;
    }

    /** Returns the number of requests running under keys of this space. */
    public int running() {
        return mRunning;
    }

    /** Returns the number of records. */
    public int size() {
        return mRecords.size();
    }

    /**
     * Decides what to do with a request that presents a key. A forwarded request must arrive here
     * at most once, as the peer transport guarantees: a late duplicate of a request that was
     * answered with {@code NOT_RUN} could otherwise run after that answer.
     */
    public KeyDecision decide(IdempotencyKey key, BodyFingerprint body) {
        if (key.incarnation() != mSpace) {
            throw new IllegalArgumentException("key belongs to another key space than this ledger");
        }
        if (mState == State.MOVED) {
            return KeyDecision.of(KeyDecision.Kind.NOT_HELD);
        }
        long now = mKeySpaceClock.nowMillis();
        removeExpiredRecords(now);
        KeyRecord record = mRecords.get(key.sequence());
        if (record != null) {
            return decideForRecord(record, body);
        }
        if (now - key.issuedMillis() > FIRST_RUN_WINDOW.toMillis()) {
            return KeyDecision.of(KeyDecision.Kind.EXPIRED);
        }
        if (mState == State.CLOSING) {
            return KeyDecision.of(KeyDecision.Kind.DRAINING);
        }
        if (mRecords.size() >= MAX_RECORDS || !mMemory.reserveRecords(1)) {
            return KeyDecision.of(KeyDecision.Kind.TABLE_FULL);
        }
        KeyRecord started = new KeyRecord(key.sequence(), key.issuedMillis(), body, null);
        mRecords.put(key.sequence(), started);
        mRecordsByAge.add(started);
        mRunning++;
        return KeyDecision.of(KeyDecision.Kind.RUN);
    }

    private static KeyDecision decideForRecord(KeyRecord record, BodyFingerprint body) {
        if (!record.body().equals(body)) {
            return KeyDecision.of(KeyDecision.Kind.CONFLICT);
        }
        KeyOutcome outcome = record.outcome();
        if (outcome == null) {
            return KeyDecision.of(KeyDecision.Kind.JOIN);
        }
        return outcome.kind() == KeyOutcome.Kind.DONE
                ? KeyDecision.replay(outcome)
                : KeyDecision.of(KeyDecision.Kind.UNKNOWN_OUTCOME);
    }

    /**
     * Records how a run ended; called exactly once per {@code RUN} decision. Has no effect when the
     * key is not running here, in particular after the handover of the space.
     */
    public void recordOutcome(IdempotencyKey key, KeyOutcome outcome) {
        KeyRecord record = mRecords.get(key.sequence());
        if (key.incarnation() != mSpace || record == null || record.outcome() != null) {
            return;
        }
        mRunning--;
        if (outcome.kind() == KeyOutcome.Kind.NOT_RUN) {
            remove(record);
            return;
        }
        KeyRecord finished = record.withOutcome(outcome);
        if (!mMemory.reserveOutput(finished.outputChars())) {
            finished = record.withOutcome(outcome.withoutOutput());
        }
        mRecords.put(key.sequence(), finished);
    }

    /** Stops running keys that have no record; keys with a record are still answered. */
    public void stopAdmitting() {
        if (mState == State.ADMITTING) {
            mState = State.CLOSING;
        }
    }

    /**
     * Closes this ledger for good and returns its records for a successor. The outcome of a request
     * that is still running is recorded as unknown.
     */
    List<KeyRecord> closeAndTakeRecords() {
        if (mState == State.MOVED) {
            throw new IllegalStateException("key space was already handed over");
        }
        mState = State.MOVED;
        removeExpiredRecords(mKeySpaceClock.nowMillis());
        List<KeyRecord> records = new ArrayList<>(mRecords.size());
        for (KeyRecord record : mRecords.values()) {
            boolean running = record.outcome() == null;
            records.add(running ? record.withOutcome(KeyOutcome.unknown()) : record);
        }
        List.copyOf(mRecords.values()).forEach(this::remove);
        mRunning = 0;
        return records;
    }

    long nowMillis() {
        return mKeySpaceClock.nowMillis();
    }

    /**
     * Returns the time on the clock of the space after which no key was or will be issued, provided
     * that the ledger is closed now.
     */
    long issueEndMillis(long nowMillis) {
        return mIssueEndMillis < 0 ? nowMillis : mIssueEndMillis;
    }

    /**
     * Returns true when every key of an adopted space is past its record lifetime and no request is
     * running. The clock of the space is handed over with it, so a chain of handovers does not
     * extend the lifetime of the space.
     */
    boolean isExpired() {
        return mIssueEndMillis >= 0
                && mRunning == 0
                && mKeySpaceClock.nowMillis() - mIssueEndMillis > RECORD_LIFETIME.toMillis();
    }

    /** Returns the complete state as text, so that tests can compare states. */
    String stateText() {
        return mState + "@" + nowMillis() + new TreeMap<>(mRecords).values();
    }

    private void removeExpiredRecords(long now) {
        Iterator<KeyRecord> oldest = mRecordsByAge.iterator();
        List<KeyRecord> expired = new ArrayList<>();
        while (oldest.hasNext()) {
            KeyRecord record = oldest.next();
            if (now - record.issuedMillis() <= RECORD_LIFETIME.toMillis()) {
                break;
            }
            KeyRecord current = mRecords.get(record.sequence());
            if (current != null && current.outcome() != null) {
                expired.add(current);
            }
        }
        expired.forEach(this::remove);
    }

    private void remove(KeyRecord record) {
        mRecords.remove(record.sequence());
        mRecordsByAge.remove(record);
        mMemory.releaseRecords(1);
        mMemory.releaseOutput(record.outputChars());
    }

    /**
     * Phases of a space on one holder; each phase is followed only by a later one.
     *
     * <p>Thread safety: immutable.
     */
    private enum State {
        /** Keys with and without a record can be presented. */
        ADMITTING,
        /** A handover is being prepared; only keys with a record are answered. */
        CLOSING,
        /** The space was handed over. */
        MOVED
    }
}
