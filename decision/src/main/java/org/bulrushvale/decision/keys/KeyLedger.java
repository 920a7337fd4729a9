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
 * Records of one key space on the process that holds it.
 *
 * <pre>{@code
 * KeyDecision decision = ledger.present(key, fingerprint);
 * if (decision.kind() == KeyDecision.Kind.RUN) {
 *     // run the request, then exactly once:
 *     ledger.finish(key, KeyOutcome.done(200, output));
 * }
 * }</pre>
 *
 * <p>Invariants: between two decisions {@code RUN} for one key lies an outcome {@code NOT_RUN}; a
 * key without a record is run only within {@link #FIRST_RUN_WINDOW} of its issue, and a record
 * outlives that window, so a dropped record never lets a key run again; after the space has left,
 * nothing is run.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class KeyLedger {
    /** A key is first run only within this time of its issue. */
    public static final Duration FIRST_RUN_WINDOW = Duration.ofMinutes(15);

    /** A record is kept for this time after the issue of its key. */
    public static final Duration RECORD_LIFETIME = FIRST_RUN_WINDOW.multipliedBy(2);

    /**
     * Most records of one space. An encoded record without output has 41 bytes, so that a full
     * space still fits into one peer frame of 1 MiB.
     */
    public static final int MAX_RECORDS = 20_000;

    private final long mSpace;
    private final SpaceClock mSpaceClock;
    private final KeyMemoryBudget mMemory;
    private final Map<Long, KeyRecord> mRecords = new HashMap<>();
    // Holds the first version of each record; only the issue time and the sequence are compared.
    private final TreeSet<KeyRecord> mByAge =
            new TreeSet<>(
                    Comparator.comparingLong(KeyRecord::issuedMillis)
                            .thenComparingLong(KeyRecord::sequence));
    private State mState = State.ADMITTING;
    // Reading of the space's clock after which no key was issued; negative while keys are issued.
    private long mClosedMillis = -1;
    private int mRunning;

    KeyLedger(long space, SpaceClock spaceClock, KeyMemoryBudget memory) {
        mSpace = space;
        mSpaceClock = spaceClock;
        mMemory = memory;
    }

    /** Takes over an offered space, or returns null when its records do not fit into memory. */
    static @Nullable KeyLedger restore(
            KeySpaceOffer offer, SpaceClock spaceClock, KeyMemoryBudget memory) {
        if (!memory.reserveRecords(offer.records().size())) {
            return null;
        }
        KeyLedger ledger = new KeyLedger(offer.space(), spaceClock, memory);
        ledger.mClosedMillis = offer.closedMillis();
        for (KeyRecord record : offer.records()) {
            KeyRecord kept = record;
            if (kept.outcome() != null && !memory.reserveOutput(kept.outputChars())) {
                kept = kept.withOutcome(kept.outcome().withoutOutput());
            }
            ledger.mRecords.put(kept.sequence(), kept);
            ledger.mByAge.add(kept);
        }
        return ledger;
    }

    /** Returns the incarnation that issued the keys of this space. */
    public long space() {
        return mSpace;
    }

    /** Returns the number of requests that run under keys of this space. */
    public int running() {
        return mRunning;
    }

    /** Returns the number of records. */
    public int size() {
        return mRecords.size();
    }

    /**
     * Decides what to do with a request that presents a key. A forwarded request must arrive here
     * at most once, as the peer transport guarantees: a late duplicate of a presentation that was
     * answered {@code NOT_RUN} could run after that answer.
     */
    public KeyDecision decide(IdempotencyKey key, BodyFingerprint body) {
        if (key.incarnation() != mSpace) {
            throw new IllegalArgumentException("the key belongs to another space");
        }
        if (mState == State.MOVED) {
            return KeyDecision.of(KeyDecision.Kind.NOT_HELD);
        }
        long now = mSpaceClock.nowMillis();
        dropOldRecords(now);
        KeyRecord record = mRecords.get(key.sequence());
        if (record != null) {
            return decideKnown(record, body);
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
        mByAge.add(started);
        mRunning++;
        return KeyDecision.of(KeyDecision.Kind.RUN);
    }

    private static KeyDecision decideKnown(KeyRecord record, BodyFingerprint body) {
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
     * Records how a run ended; called exactly once per decision {@code RUN}. Has no effect when the
     * key is not running here, in particular after the space has left this process.
     */
    public void finish(IdempotencyKey key, KeyOutcome outcome) {
        KeyRecord record = mRecords.get(key.sequence());
        if (key.incarnation() != mSpace || record == null || record.outcome() != null) {
            return;
        }
        mRunning--;
        if (outcome.kind() == KeyOutcome.Kind.NOT_RUN) {
            remove(record);
            return;
        }
        KeyRecord ended = record.withOutcome(outcome);
        if (!mMemory.reserveOutput(ended.outputChars())) {
            ended = record.withOutcome(outcome.withoutOutput());
        }
        mRecords.put(key.sequence(), ended);
    }

    /** Stops running keys that have no record yet; known keys are still answered. */
    public void stopAdmitting() {
        if (mState == State.ADMITTING) {
            mState = State.CLOSING;
        }
    }

    /**
     * Ends this holder for good and returns what a successor needs. Requests that still run are
     * passed on with an unknown outcome.
     */
    List<KeyRecord> moveOut() {
        if (mState == State.MOVED) {
            throw new IllegalStateException("the space was moved before");
        }
        mState = State.MOVED;
        dropOldRecords(mSpaceClock.nowMillis());
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
        return mSpaceClock.nowMillis();
    }

    /** Returns the reading after which no key of the space was or will be issued. */
    long closedMillis(long nowMillis) {
        return mClosedMillis < 0 ? nowMillis : mClosedMillis;
    }

    /**
     * Returns true when every key of an adopted space is past its record lifetime and none runs.
     * The clock of the space moves with it, so a chain of handovers does not prolong its life.
     */
    boolean isOver() {
        return mClosedMillis >= 0
                && mRunning == 0
                && mSpaceClock.nowMillis() - mClosedMillis > RECORD_LIFETIME.toMillis();
    }

    /** Returns the whole state, to compare states with each other. */
    String describe() {
        return mState + "@" + nowMillis() + new TreeMap<>(mRecords).values();
    }

    private void dropOldRecords(long now) {
        Iterator<KeyRecord> oldest = mByAge.iterator();
        List<KeyRecord> ended = new ArrayList<>();
        while (oldest.hasNext()) {
            KeyRecord record = oldest.next();
            if (now - record.issuedMillis() <= RECORD_LIFETIME.toMillis()) {
                break;
            }
            KeyRecord current = mRecords.get(record.sequence());
            if (current != null && current.outcome() != null) {
                ended.add(current);
            }
        }
        ended.forEach(this::remove);
    }

    private void remove(KeyRecord record) {
        mRecords.remove(record.sequence());
        mByAge.remove(record);
        mMemory.releaseRecords(1);
        mMemory.releaseOutput(record.outputChars());
    }

    /**
     * Phases of a space on one holder, in the only order in which they follow each other.
     *
     * <p>Thread safety: immutable.
     */
    private enum State {
        ADMITTING,
        CLOSING,
        MOVED
    }
}
