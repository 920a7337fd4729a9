package org.bulrushvale.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.kernel.id.RequestId;
import org.bulrushvale.kernel.time.ManualClock;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Drives one run with random events and messages and compares it with a simple sequential model.
 *
 * <p>Invariant: the same seed gives the same run. Thread safety: not safe; used by one test.
 */
final class RunSimulation {
    private static final int STEPS = 60;

    private final SplittableRandom mRandom;
    private final boolean mChecksAttempts;
    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final DropCounts mDrops = new DropCounts();
    private final List<Stage> mStages = new ArrayList<>();
    private final RequestRun mRun;
    private final List<String> mViolations = new ArrayList<>();
    private final List<Deque<Message>> mConnections = new ArrayList<>();
    // The model: which attempts exist, which of them may still answer, and what really ran.
    private final Set<AttemptId> mIssued = new HashSet<>();
    private final Set<AttemptId> mOpen = new HashSet<>();
    private final Set<AttemptId> mAccepted = new HashSet<>();
    private final Set<AttemptId> mNeverSent = new HashSet<>();
    private final Map<Integer, Integer> mRunCounts = new HashMap<>();
    private final List<String> mDelivered = new ArrayList<>();
    private String mExpectedInput = "input";
    private int mStage;
    private int mForeignCount;
    private int mDuplicateCount;
    private int mEndCount;

    RunSimulation(long seed, boolean checksAttempts) {
        mRandom = new SplittableRandom(seed);
        mChecksAttempts = checksAttempts;
        int count = 1 + mRandom.nextInt(4);
        for (int i = 0; i < count; i++) {
            boolean streams = i == count - 1 && mRandom.nextBoolean();
            mStages.add(new Stage("s" + i, "pool", mRandom.nextInt(3) > 0, streams));
        }
        mRun =
                RequestRun.builder(RequestId.random(mRandom), new Pipeline("p", mStages), mClock)
                        .random(mRandom.split())
                        .drops(mDrops)
                        .repeatLimiter(stage -> mRandom.nextInt(4) > 0)
                        .deadline(Duration.ofMillis(80))
                        .build();
    }

    List<String> violations() {
        apply(mRun.start("input"));
        for (int step = 0; step < STEPS; step++) {
            mClock.advance(Duration.ofMillis(mRandom.nextInt(3)));
            int action = mRandom.nextInt(100);
            if (action < 10) {
                apply(mRun.startHedge());
            } else if (action < 12) {
                apply(mRun.cancel(this::connectionVerdict));
            } else if (action < 16) {
                apply(mRun.onDeadline(this::connectionVerdict));
            } else if (action < 40) {
                foreignMessage().run();
            } else {
                receiveNext();
            }
        }
        mClock.advance(Duration.ofMillis(80));
        apply(mRun.onDeadline(this::connectionVerdict));
        check(mEndCount == 1, "run ended " + mEndCount + " times");
        check(mDrops.count(DropKind.FOREIGN) == mForeignCount, "foreign results miscounted");
        check(mDrops.count(DropKind.DUPLICATE) == mDuplicateCount, "duplicates miscounted");
        return mViolations;
    }

    DropCounts drops() {
        return mDrops;
    }

    private Verdict connectionVerdict(AttemptId id) {
        return mNeverSent.contains(id) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    }

    private void receiveNext() {
        if (mConnections.isEmpty()) {
            return;
        }
        Deque<Message> connection = mConnections.get(mRandom.nextInt(mConnections.size()));
        Message message = connection.poll();
        if (message == null) {
            return;
        }
        if (mRandom.nextInt(10) == 0) {
            connection.add(message); // delivered again later: duplicate, late or out of order
        }
        message.run();
    }

    private Runnable foreignMessage() {
        List<AttemptId> known = new ArrayList<>(mIssued);
        AttemptId template = known.get(mRandom.nextInt(known.size()));
        RequestId owner = mRandom.nextBoolean() ? mRun.id() : RequestId.random(mRandom);
        AttemptId id =
                new AttemptId(owner, template.stage(), template.attempt(), mRandom.nextLong());
        return mRandom.nextBoolean() ? result(id, true) : text(id, 0, "foreign");
    }

    /**
     * Chooses what happens to an attempt at the backend server: never sent (0 and 1), failed
     * without or after running (2 and 3, the latter with a late answer), incomplete answer (4), or
     * complete answer.
     */
    private void send(AttemptId id, Stage stage) {
        Deque<Message> connection = new ArrayDeque<>();
        mConnections.add(connection);
        int outcome = mRandom.nextInt(10);
        if (outcome < 2) {
            mNeverSent.add(id);
            connection.add(failure(id, Verdict.NOT_RUN));
            return;
        }
        boolean ran = outcome != 2;
        if (ran) {
            mRunCounts.merge(id.stage(), 1, Integer::sum);
        }
        if (outcome <= 3) {
            connection.add(failure(id, Verdict.MAY_HAVE_RUN));
        }
        if (stage.streams()) {
            int missing = outcome == 4 ? mRandom.nextInt(4) : -1;
            for (int i = 0; i < 4; i++) {
                if (i != missing) {
                    connection.add(text(id, i, "t" + i));
                }
            }
            connection.add(end(id));
        } else if (ran) {
            connection.add(result(id, outcome != 4));
        }
    }

    private Message failure(AttemptId id, Verdict verdict) {
        return () -> {
            boolean open = mOpen.remove(id);
            checkAndApply(open, mRun.onFailure(id, verdict, ErrorCode.BACKEND_FAILED, "lost"));
        };
    }

    private Message result(AttemptId id, boolean complete) {
        return () -> {
            StageResult result = new StageResult(attributed(id), complete, "out:" + id, 4);
            boolean open = recordArrival(id);
            boolean wins = open && complete && mDelivered.isEmpty();
            completeAttempt(id, open, wins, "out:" + id, () -> mRun.onResult(result));
        };
    }

    private Message end(AttemptId id) {
        return () -> {
            boolean open = recordArrival(id);
            boolean wins = open && mDelivered.size() == 4;
            completeAttempt(id, open, wins, "t0t1t2t3", () -> mRun.onEnd(attributed(id), 4));
        };
    }

    private Message text(AttemptId id, int offset, String text) {
        return () -> {
            boolean open = recordArrival(id);
            if (open && offset > mDelivered.size()) {
                mOpen.remove(id);
            }
            checkAndApply(open, mRun.onText(attributed(id), offset, text));
        };
    }

    private void completeAttempt(
            AttemptId id,
            boolean open,
            boolean wins,
            String output,
            Supplier<List<RunDecision>> call) {
        if (open) {
            mOpen.remove(id);
        }
        if (wins) {
            mAccepted.add(id);
            mExpectedInput = output;
            mStage++;
        }
        checkAndApply(open, call.get());
    }

    /** Counts the drops that the run must count; returns true when the attempt may still answer. */
    private boolean recordArrival(AttemptId id) {
        if (!mIssued.contains(id)) {
            mForeignCount++;
        } else if (mAccepted.contains(id)) {
            mDuplicateCount++;
        }
        return mOpen.contains(id);
    }

    /** Returns the attempt of a message; the broken variant attributes it to any open attempt. */
    private AttemptId attributed(AttemptId id) {
        List<AttemptId> open = mRun.openAttempts();
        return mChecksAttempts || open.isEmpty() ? id : open.get(0);
    }

    private void checkAndApply(boolean open, List<RunDecision> decisions) {
        check(open || decisions.isEmpty(), "a message of a closed attempt had an effect");
        apply(decisions);
    }

    private void apply(List<RunDecision> decisions) {
        for (RunDecision decision : decisions) {
            if (decision instanceof RunDecision.StartAttempt start) {
                checkStart(start);
                mIssued.add(start.attempt());
                mOpen.add(start.attempt());
                send(start.attempt(), start.stage());
            } else if (decision instanceof RunDecision.CancelAttempt cancel) {
                check(mOpen.remove(cancel.attempt()), "cancelled an attempt that was not open");
            } else if (decision instanceof RunDecision.DeliverText text) {
                check(text.offset() == mDelivered.size(), "text out of order");
                check(text.text().equals("t" + text.offset()), "foreign text");
                mDelivered.add(text.text());
            } else if (decision instanceof RunDecision.Deliver deliver) {
                mEndCount++;
                check(mStage == mStages.size(), "delivered before the last stage ended");
                check(deliver.output().equals(mExpectedInput), "delivered another output");
            } else if (decision instanceof RunDecision.Fail fail) {
                mEndCount++;
                mOpen.clear();
                checkVerdict(fail.verdict());
            }
        }
    }

    private void checkStart(RunDecision.StartAttempt start) {
        int stage = start.attempt().stage();
        check(mEndCount == 0, "started after the end");
        check(stage == mStage, "started a stage out of order");
        check(start.input().equals(mExpectedInput), "input is not the accepted output");
        long earlier = mIssued.stream().filter(id -> id.stage() == stage).count();
        check(
                start.earlierAttempts().size() == earlier,
                "earlier attempts are not those of the stage");
        boolean mayRepeat = start.stage().repeatable() || !mRunCounts.containsKey(stage);
        check(mayRepeat, "sent a stage again that must not be repeated");
    }

    private void checkVerdict(Verdict verdict) {
        check(verdict != Verdict.NOT_RUN || mRunCounts.isEmpty(), "NOT_RUN for a request that ran");
        boolean hasNonRepeatable = mStages.stream().anyMatch(stage -> !stage.repeatable());
        for (int i = 0; i < mStages.size(); i++) {
            boolean isDecisive = !hasNonRepeatable || !mStages.get(i).repeatable();
            boolean wronglyRan = verdict == Verdict.RAN && isDecisive && !mRunCounts.containsKey(i);
            check(!wronglyRan, "RAN for a stage that did not run");
        }
    }

    private void check(boolean holds, String violation) {
        if (!holds) {
            mViolations.add(violation);
        }
    }

    private interface Message extends Runnable {}
}
