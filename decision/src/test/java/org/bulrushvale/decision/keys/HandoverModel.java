package org.bulrushvale.decision.keys;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.bulrushvale.decision.keys.KeyDecision.Kind;
import org.bulrushvale.kernel.time.ManualClock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Model of three entries with real {@link KeySpaces}, connected by a network that loses,
 * duplicates, delays and reorders messages. An instance is one state of the exploration.
 *
 * <p>A message that is never delivered models a lost message, and an entry that takes no step
 * models a paused process. Any entry can receive an offer or a request with a key, which covers all
 * disagreements about the VM list. A forwarded request is delivered at most once by its connection,
 * and the decision about it depends only on the state at delivery, so a late forward is equivalent
 * to a request that is presented to the holder later. Offers and acknowledgements may also be
 * duplicated.
 *
 * <p>Each step checks that no key runs twice, that no {@code NOT_RUN} is false, and that no request
 * gets the answer of another body; see {@link #violation()}. Thread safety: not safe.
 */
final class HandoverModel {
    private static final KeySecret SECRET = KeySecret.of(new byte[32]);
    private static final int ENTRIES = 3;
    private static final String[] BODIES = {"a", "b"};
    private static final BodyFingerprint[] FINGERPRINTS = {
        new BodyFingerprint(0, 1), new BodyFingerprint(0, 2)
    };
    // Keys of the first incarnations of two entries; ledgers do not verify the signature.
    private static final IdempotencyKey[] KEYS = {
        new IdempotencyKey(1, 0, 0, 0, 0, ""), new IdempotencyKey(2, 0, 0, 0, 0, "")
    };

    // Indexes into the number of steps of each kind that are left.
    private static final int PRESENTATIONS = 0;
    private static final int OFFERS = 1;
    private static final int DUPLICATES = 2;
    private static final int RESTARTS = 3;
    private static final int CLOCK_STEPS = 4;

    private final HandoverRules mRules;
    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final KeySpaces[] mEntries = new KeySpaces[ENTRIES];
    private final List<Message> mNetwork = new ArrayList<>();
    private final List<Run> mRuns = new ArrayList<>();
    private final Set<List<Long>> mOfferedSpaces = new HashSet<>();
    private final int[] mStepsLeft;
    private long mNextIncarnation = 1;
    private String mViolation = "";

    /**
     * Creates the initial state.
     *
     * @param budget maximum number of presentations, offers, duplicates, restarts and clock steps
     */
    HandoverModel(HandoverRules rules, int... budget) {
        mRules = rules;
        mStepsLeft = budget.clone();
        for (int i = 0; i < ENTRIES; i++) {
            mEntries[i] = newEntry();
        }
    }

    private KeySpaces newEntry() {
        KeyMemoryBudget memory = KeyMemoryBudget.limitedTo(8, 100);
        return new KeySpaces(mNextIncarnation++, SECRET, mClock, memory, mRules);
    }

    /** Returns the first violated property; empty when there is none. */
    String violation() {
        return mViolation;
    }

    /**
     * Returns all steps that are possible in this state. The first element is the kind:
     *
     * <ul>
     *   <li>P: present a key to an entry (entry, key, body)
     *   <li>O: offer the space of a key to another entry (entry, key, receiver)
     *   <li>R: restart an entry (entry)
     *   <li>D: deliver a message (message, 1 to leave a duplicate in the network)
     *   <li>F: end a run (run, how it ends)
     *   <li>T: advance the clock by more than the first-run window
     * </ul>
     */
    List<int[]> steps() {
        List<int[]> steps = new ArrayList<>();
        for (int e = 0; e < ENTRIES; e++) {
            for (int k = 0; mStepsLeft[PRESENTATIONS] > 0 && k < KEYS.length; k++) {
                if (!(mEntries[e].route(KEYS[k]) instanceof KeyRoute.Local)) {
                    continue; // answered MAY_HAVE_RUN: never false, changes no state
                }
                for (int b = 0; b < BODIES.length; b++) {
                    steps.add(new int[] {'P', e, k, b});
                }
            }
            for (int s = 0; mStepsLeft[OFFERS] > 0 && s < KEYS.length; s++) {
                for (int to = 0; to < ENTRIES; to++) {
                    if (to != e && mayTryOffer(e, s)) {
                        steps.add(new int[] {'O', e, s, to});
                    }
                }
            }
            if (mStepsLeft[RESTARTS] > 0) {
                steps.add(new int[] {'R', e});
            }
        }
        for (int m = 0; m < mNetwork.size(); m++) {
            steps.add(new int[] {'D', m, 0});
            if (mStepsLeft[DUPLICATES] > 0) {
                steps.add(new int[] {'D', m, 1});
            }
        }
        for (int r = 0; r < mRuns.size(); r++) {
            for (int end = 0; mRuns.get(r).mEnd == Run.RUNNING && end < 3; end++) {
                steps.add(new int[] {'F', r, end});
            }
        }
        if (mStepsLeft[CLOCK_STEPS] > 0) {
            steps.add(new int[] {'T'});
        }
        return steps;
    }

    private boolean mayTryOffer(int entry, int key) {
        long space = KEYS[key].incarnation();
        KeySpaces spaces = mEntries[entry];
        return spaces.heldSpaceIds().contains(space)
                || mOfferedSpaces.contains(List.of(spaces.incarnation(), space));
    }

    /** Applies one step. */
    void apply(int[] step) {
        switch (step[0]) {
            case 'P' -> present(step[1], KEYS[step[2]], step[3]);
            case 'O' -> offer(step[1], KEYS[step[2]].incarnation(), step[3]);
            case 'D' -> deliver(step[1], step[2] == 1);
            case 'F' -> finish(mRuns.get(step[1]), step[2]);
            case 'R' -> restart(step[1]);
            case 'T' -> {
                mStepsLeft[CLOCK_STEPS]--;
                mClock.advance(Duration.ofMinutes(16));
            }
            default -> throw new AssertionError();
        }
    }

    private void present(int entry, IdempotencyKey key, int body) {
        mStepsLeft[PRESENTATIONS]--;
        KeyLedger ledger = ((KeyRoute.Local) mEntries[entry].route(key)).ledger();
        KeyDecision decision = ledger.decide(key, FINGERPRINTS[body]);
        Kind kind = decision.kind();
        if (kind == Kind.RUN) {
            mRuns.add(new Run(entry, key, body, ledger));
            long possible = mRuns.stream().filter(r -> r.mKey == key && r.mayHaveRun()).count();
            check(possible <= 1, "key ran twice");
        } else if (kind.verdict() == Verdict.NOT_RUN) {
            boolean ran =
                    mRuns.stream()
                            .anyMatch(r -> r.mKey == key && r.mBody == body && r.mayHaveRun());
            check(!ran, "false NOT_RUN by " + kind);
        } else if (kind == Kind.REPLAY) {
            KeyOutcome outcome = decision.outcome();
            check(BODIES[body].equals(outcome.output()), "replayed the answer of another body");
        } else if (kind == Kind.JOIN) {
            boolean same =
                    mRuns.stream().anyMatch(r -> r.mKey == key && r.mBody == body && r.isRunning());
            check(same, "joined a run of another body");
        }
    }

    private void check(boolean holds, String property) {
        if (!holds && mViolation.isEmpty()) {
            mViolation = property;
        }
    }

    private void offer(int from, long space, int to) {
        mStepsLeft[OFFERS]--;
        long successor = mEntries[to].incarnation();
        mOfferedSpaces.add(List.of(mEntries[from].incarnation(), space));
        mEntries[from]
                .offer(space, "vm" + to, successor)
                .map(KeySpaceOffer::encode)
                .ifPresent(o -> mNetwork.add(new Message('o', to, from, o)));
    }

    private void deliver(int index, boolean keepCopy) {
        Message message = mNetwork.get(index);
        if (keepCopy) {
            mStepsLeft[DUPLICATES]--;
        } else {
            mNetwork.remove(index);
        }
        int to = message.mTo;
        switch (message.mKind) {
            case 'o' -> {
                KeySpaceOffer offer = decode(message.mOffer);
                if (mEntries[to].adopt(offer).isAcknowledged()) {
                    mNetwork.add(new Message('a', message.mFrom, to, message.mOffer));
                }
            }
            case 'a' -> {
                KeySpaceOffer offer = decode(message.mOffer);
                mEntries[to].acknowledge(offer.space(), offer.successor());
            }
            default -> throw new AssertionError();
        }
    }

    private static KeySpaceOffer decode(byte[] offer) {
        try {
            return KeySpaceOffer.decode(offer);
        } catch (BulrushvaleException e) {
            throw new AssertionError(e);
        }
    }

    private void finish(Run run, int end) {
        run.mEnd = end;
        run.mLedger.recordOutcome(
                run.mKey,
                switch (end) {
                    case Run.DONE -> KeyOutcome.done(200, BODIES[run.mBody]);
                    case Run.UNKNOWN -> KeyOutcome.unknown();
                    default -> KeyOutcome.notRun();
                });
    }

    private void restart(int entry) {
        mStepsLeft[RESTARTS]--;
        mEntries[entry] = newEntry();
        // The process may have sent these requests before it ended, so they may have run.
        mRuns.stream()
                .filter(r -> r.mEntry == entry && r.isRunning())
                .forEach(r -> r.mEnd = Run.UNKNOWN);
    }

    /** Returns a text that is equal for states with the same possible further steps and results. */
    String stateText() {
        StringBuilder text = new StringBuilder(Arrays.toString(mStepsLeft));
        for (KeySpaces entry : mEntries) {
            text.append('|').append(entry.incarnation()).append(entry.stateText());
        }
        text.append(mNetwork.stream().map(Message::toString).sorted().collect(Collectors.toList()));
        return text.append(mRuns.stream().map(Run::toString).sorted().collect(Collectors.toList()))
                .toString();
    }

    /** A message in the network: an offer (kind 'o') or an acknowledgement (kind 'a'). */
    private static final class Message {
        private final char mKind;
        private final int mTo;
        private final int mFrom;
        private final byte[] mOffer;

        Message(char kind, int to, int from, byte[] offer) {
            mKind = kind;
            mTo = to;
            mFrom = from;
            mOffer = offer;
        }

        @Override
        public String toString() {
            return "" + mKind + mTo + mFrom + HexFormat.of().formatHex(mOffer);
        }
    }

    /** A request that runs or ran under a key. */
    private static final class Run {
        static final int RUNNING = -1;
        static final int DONE = 0;
        static final int UNKNOWN = 1;
        static final int NOT_RUN = 2;

        private final int mEntry;
        private final IdempotencyKey mKey;
        private final int mBody;
        private final KeyLedger mLedger;
        private int mEnd = RUNNING;

        Run(int entry, IdempotencyKey key, int body, KeyLedger ledger) {
            mEntry = entry;
            mKey = key;
            mBody = body;
            mLedger = ledger;
        }

        boolean isRunning() {
            return mEnd == RUNNING;
        }

        boolean mayHaveRun() {
            return mEnd != NOT_RUN;
        }

        @Override
        public String toString() {
            return mEntry + "," + mKey.incarnation() + ',' + mBody + ',' + mEnd;
        }
    }
}
