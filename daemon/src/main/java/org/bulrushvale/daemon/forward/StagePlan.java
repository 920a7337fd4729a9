package org.bulrushvale.daemon.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushvale.adapters.forward.MadePiece;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.decision.forward.Route;

/**
 * The stages of one request, in the order that the route publishes.
 *
 * <p>Invariant: a piece is given exactly the results of all pieces of the stages that it follows,
 * of this request only. Thread safety: used on the event loop.
 */
final class StagePlan {
    private final StageWork mWork;
    private final Route mRoute;
    private final String mRequestId;
    private final String mPieceKey;
    private final List<Integer> mPieces;
    private final Times mTimes;
    private final Listener mListener;
    private final Map<Integer, List<String>> mHandles = new HashMap<>();
    private final Map<Integer, Runnable> mRunning = new HashMap<>();
    private boolean mEnded;

    StagePlan(
            StageWork work,
            Route route,
            String requestId,
            String pieceKey,
            List<Integer> statedPieces,
            Times times,
            Listener listener) {
        mWork = work;
        mRoute = route;
        mRequestId = requestId;
        mPieceKey = pieceKey;
        mPieces = padded(statedPieces, route.stages().size());
        mTimes = times;
        mListener = listener;
    }

    private static List<Integer> padded(List<Integer> pieces, int stages) {
        List<Integer> padded = new ArrayList<>(pieces);
        padded.addAll(Collections.nCopies(Math.max(0, stages - pieces.size()), 0));
        return padded.subList(0, stages);
    }

    /** Starts every stage whose inputs are there; tells the listener when all are done. */
    void advance() {
        if (mEnded) {
            return;
        }
        for (int stage = 0; stage < mPieces.size(); stage++) {
            if (mPieces.get(stage) > 0 && !isDone(stage) && !mRunning.containsKey(stage)) {
                if (mRoute.stages().get(stage).after().stream().allMatch(this::isDone)) {
                    start(stage);
                }
            }
        }
        if (mRunning.isEmpty() && !mEnded) {
            mEnded = true;
            mListener.stagesDone(inputs(mRoute.finalStages(mPieces)));
        }
    }

    private boolean isDone(int stage) {
        return mPieces.get(stage) == 0 || mHandles.containsKey(stage);
    }

    private List<String> inputs(List<Integer> stages) {
        List<String> inputs = new ArrayList<>();
        stages.forEach(stage -> inputs.addAll(mHandles.getOrDefault(stage, List.of())));
        return inputs;
    }

    private void start(int stage) {
        Route.StageStep step = mRoute.stages().get(stage);
        List<String> inputs = inputs(step.after());
        long left = mTimes.deadlineMillis();
        List<PieceOrder> orders = new ArrayList<>();
        for (int piece = 0; piece < mPieces.get(stage); piece++) {
            String key = inputs.isEmpty() ? mPieceKey : "";
            orders.add(new PieceOrder(mRequestId, stage, piece, left, key, inputs));
        }
        StageJob job =
                new StageJob(
                        step.service(), orders, mTimes.targetMillis(), left, step.resultBytes());
        // Reserved first: a result may be there before the call returns.
        mRunning.put(stage, () -> {});
        Runnable giveUp = mWork.make(job, results -> onResults(stage, results));
        mRunning.replace(stage, giveUp);
    }

    private void onResults(int stage, List<PieceResult> results) {
        mRunning.remove(stage);
        List<MadePiece> made = new ArrayList<>();
        PieceResult.Outcome failure = null;
        for (int piece = 0; piece < results.size(); piece++) {
            PieceResult result = results.get(piece);
            if (result.outcome() == PieceResult.Outcome.MADE) {
                made.add(new MadePiece(mRequestId, stage, piece, result.handle()));
            } else {
                failure = result.outcome();
            }
        }
        if (mEnded || failure != null) {
            release(stage, made);
            if (!mEnded && failure != null) {
                mEnded = true;
                mListener.stagesFailed(failure);
            }
            return;
        }
        mHandles.put(stage, made.stream().map(MadePiece::handle).toList());
        releaseUsed();
        advance();
    }

    /** Results are free as soon as every stage that follows has used them. */
    private void releaseUsed() {
        List<Integer> last = mRoute.finalStages(mPieces);
        for (int stage = 0; stage < mPieces.size(); stage++) {
            int candidate = stage;
            boolean used =
                    !last.contains(stage)
                            && mHandles.containsKey(stage)
                            && followers(candidate).stream().allMatch(this::isDone);
            if (used) {
                releaseStage(stage);
            }
        }
    }

    private List<Integer> followers(int stage) {
        List<Integer> followers = new ArrayList<>();
        for (int i = 0; i < mPieces.size(); i++) {
            if (mRoute.stages().get(i).after().contains(stage)) {
                followers.add(i);
            }
        }
        return followers;
    }

    /** Gives up all results and all work in progress. */
    void release() {
        mEnded = true;
        mRunning.values().forEach(Runnable::run);
        mRunning.clear();
        List.copyOf(mHandles.keySet()).forEach(this::releaseStage);
    }

    private void releaseStage(int stage) {
        List<String> handles = mHandles.getOrDefault(stage, List.of());
        List<MadePiece> made = new ArrayList<>();
        for (int piece = 0; piece < handles.size(); piece++) {
            made.add(new MadePiece(mRequestId, stage, piece, handles.get(piece)));
        }
        mHandles.replace(stage, List.of());
        release(stage, made);
    }

    private void release(int stage, List<MadePiece> made) {
        if (!made.isEmpty()) {
            mWork.release(mRoute.stages().get(stage).service(), made);
        }
    }

    /** Remaining times of the request. */
    interface Times {
        /** Returns the time left until the request should be answered. */
        long targetMillis();

        /** Returns the time left until the request ends. */
        long deadlineMillis();
    }

    /** Told once about the end of the stages. */
    interface Listener {
        /** All stages are done; receives the handles that the request itself needs. */
        void stagesDone(List<String> inputs);

        /** A stage failed. */
        void stagesFailed(PieceResult.Outcome outcome);
    }
}
