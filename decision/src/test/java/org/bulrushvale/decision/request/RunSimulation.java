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
 * Drives one run with random messages and compares it with a naive sequential model.
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
    private final List<Deque<Message>> mWires = new ArrayList<>();
    // The model: which attempts exist, which of them may still answer, and what really ran.
    private final Set<AttemptId> mIssued = new HashSet<>();
    private final Set<AttemptId> mOpen = new HashSet<>();
    private final Set<AttemptId> mAccepted = new HashSet<>();
    private final Set<AttemptId> mUnsent = new HashSet<>();
    private final Map<Integer, Integer> mRuns = new HashMap<>();
    private final List<String> mDelivered = new ArrayList<>();
    private String mExpectedInput = "input";
    private int mStage;
    private int mForeign;
    private int mDuplicates;
    private int mEnds;

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
                apply(mRun.cancel(this::wireVerdict));
            } else if (action < 16) {
                apply(mRun.onDeadline(this::wireVerdict));
            } else if (action < 40) {
                foreign().run();
            } else {
                receive();
            }
        }
        mClock.advance(Duration.ofMillis(80));
        apply(mRun.onDeadline(this::wireVerdict));
        check(mEnds == 1, "run ended " + mEnds + " times");
        check(mDrops.count(DropKind.FOREIGN) == mForeign, "foreign results miscounted");
        check(mDrops.count(DropKind.DUPLICATE) == mDuplicates, "duplicates miscounted");
        return mViolations;
    }

    DropCounts drops() {
        return mDrops;
    }

    private Verdict wireVerdict(AttemptId id) {
        return mUnsent.contains(id) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    }

    private void receive() {
        if (mWires.isEmpty()) {
            return;
        }
        Deque<Message> wire = mWires.get(mRandom.nextInt(mWires.size()));
        Message message = wire.poll();
        if (message == null) {
            return;
        }
        if (mRandom.nextInt(10) == 0) {
            wire.add(message); // delivered again later: duplicate, late or out of order
        }
        message.run();
    }

    private Runnable foreign() {
        List<AttemptId> known = new ArrayList<>(mIssued);
        AttemptId like = known.get(mRandom.nextInt(known.size()));
        RequestId owner = mRandom.nextBoolean() ? mRun.id() : RequestId.random(mRandom);
        AttemptId id = new AttemptId(owner, like.stage(), like.attempt(), mRandom.nextLong());
        return mRandom.nextBoolean() ? result(id, true) : text(id, 0, "foreign");
    }

    /** Chooses what the backend server does with an attempt. */
    private void send(AttemptId id, Stage stage) {
        Deque<Message> wire = new ArrayDeque<>();
        mWires.add(wire);
        int fate = mRandom.nextInt(10);
        if (fate < 2) {
            mUnsent.add(id);
            wire.add(failure(id, Verdict.NOT_RUN));
            return;
        }
        boolean ran = fate != 2;
        if (ran) {
            mRuns.merge(id.stage(), 1, Integer::sum);
        }
        if (fate <= 3) {
            wire.add(failure(id, Verdict.MAY_HAVE_RUN));
        }
        if (stage.streams()) {
            int missing = fate == 4 ? mRandom.nextInt(4) : -1;
            for (int i = 0; i < 4; i++) {
                if (i != missing) {
                    wire.add(text(id, i, "t" + i));
                }
            }
            wire.add(end(id));
        } else if (ran) {
            wire.add(result(id, fate != 4));
        }
    }

    private Message failure(AttemptId id, Verdict verdict) {
        return () -> {
            boolean open = mOpen.remove(id);
            expectSilence(open, mRun.onFailure(id, verdict, ErrorCode.BACKEND_FAILED, "lost"));
        };
    }

    private Message result(AttemptId id, boolean complete) {
        return () -> {
            StageResult result = new StageResult(addressed(id), complete, "out:" + id, 4);
            boolean open = arrive(id);
            boolean wins = open && complete && mDelivered.isEmpty();
            deliver(id, open, wins, "out:" + id, () -> mRun.onResult(result));
        };
    }

    private Message end(AttemptId id) {
        return () -> {
            boolean open = arrive(id);
            boolean wins = open && mDelivered.size() == 4;
            deliver(id, open, wins, "t0t1t2t3", () -> mRun.onEnd(addressed(id), 4));
        };
    }

    private Message text(AttemptId id, int offset, String text) {
        return () -> {
            boolean open = arrive(id);
            if (open && offset > mDelivered.size()) {
                mOpen.remove(id);
            }
            expectSilence(open, mRun.onText(addressed(id), offset, text));
        };
    }

    private void deliver(
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
        expectSilence(open, call.get());
    }

    /** Counts what the run must count; returns true when the attempt may still answer. */
    private boolean arrive(AttemptId id) {
        if (!mIssued.contains(id)) {
            mForeign++;
        } else if (mAccepted.contains(id)) {
            mDuplicates++;
        }
        return mOpen.contains(id);
    }

    /** The broken variant takes every result as the answer to an open attempt. */
    private AttemptId addressed(AttemptId id) {
        List<AttemptId> open = mRun.openAttempts();
        return mChecksAttempts || open.isEmpty() ? id : open.get(0);
    }

    private void expectSilence(boolean open, List<RunDecision> decisions) {
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
                mEnds++;
                check(mStage == mStages.size(), "delivered before the last stage ended");
                check(deliver.output().equals(mExpectedInput), "delivered another output");
            } else if (decision instanceof RunDecision.Fail fail) {
                mEnds++;
                mOpen.clear();
                checkVerdict(fail.verdict());
            }
        }
    }

    private void checkStart(RunDecision.StartAttempt start) {
        int stage = start.attempt().stage();
        check(mEnds == 0, "started after the end");
        check(stage == mStage, "started a stage out of order");
        check(start.input().equals(mExpectedInput), "input is not the accepted output");
        long earlier = mIssued.stream().filter(id -> id.stage() == stage).count();
        check(
                start.earlierAttempts().size() == earlier,
                "earlier attempts are not those of the stage");
        boolean mayRepeat = start.stage().repeatable() || !mRuns.containsKey(stage);
        check(mayRepeat, "sent a stage again that must not be repeated");
    }

    private void checkVerdict(Verdict verdict) {
        check(verdict != Verdict.NOT_RUN || mRuns.isEmpty(), "NOT_RUN for a request that ran");
        boolean anyOnce = mStages.stream().anyMatch(stage -> !stage.repeatable());
        for (int i = 0; i < mStages.size(); i++) {
            boolean counts = !anyOnce || !mStages.get(i).repeatable();
            boolean falseRan = verdict == Verdict.RAN && counts && !mRuns.containsKey(i);
            check(!falseRan, "RAN for a stage that did not run");
        }
    }

    private void check(boolean holds, String violation) {
        if (!holds) {
            mViolations.add(violation);
        }
    }

    private interface Message extends Runnable {}
}
