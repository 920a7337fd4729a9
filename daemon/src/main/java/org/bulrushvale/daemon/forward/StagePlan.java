package org.bulrushvale.daemon.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushvale.adapters.forward.CompletedPiece;
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
    // Moving less than this between domains costs less than waiting for a server.
    private static final long LARGE_BYTES = 100_000;

    // A late piece may still start in this time: about one call of a stage.
    private static final long FIRST_STAGE_GRACE_MILLIS = 300;

    private final StageWork mWork;
    private final Route mRoute;
    private final String mRequestId;
    private final String mPieceKey;
    private final List<Integer> mPieces;
    private final RequestView mRequest;
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
            RequestView request,
            Listener listener) {
        mWork = work;
        mRoute = route;
        mRequestId = requestId;
        mPieceKey = pieceKey;
        mPieces = padded(statedPieces, route.stages().size());
        mRequest = request;
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
                if (mRoute.stages().get(stage).dependencies().stream().allMatch(this::isDone)) {
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
        Route.RouteStage step = mRoute.stages().get(stage);
        List<String> inputs = inputs(step.dependencies());
        long left = mRequest.deadlineMillis();
        long later = mRequest.stageMillis(step.service()) + laterMillis(stage);
        List<PieceOrder> orders = new ArrayList<>();
        for (int piece = 0; piece < mPieces.get(stage); piece++) {
            String key = inputs.isEmpty() ? mPieceKey : "";
            orders.add(new PieceOrder(mRequestId, stage, piece, left, key, inputs));
        }
        long startBy = mRequest.targetMillis() - later;
        long giveUp = mRequest.giveUpMillis() - later;
        if (step.dependencies().isEmpty()) {
            // Nothing is lost yet, and a caller that is refused early can still come back in time.
            giveUp = Math.min(giveUp, Math.max(0, startBy) + FIRST_STAGE_GRACE_MILLIS);
        }
        StageJob job =
                new StageJob(
                        step.service(),
                        orders,
                        startBy,
                        giveUp,
                        mRequest.rank(),
                        step.resultBytes(),
                        preferredDomain(stage, inputs));
        // Reserved first: a result may be there before the call returns.
        mRunning.put(stage, () -> {});
        Runnable cancel = mWork.make(job, results -> onResults(stage, job, results));
        mRunning.replace(stage, cancel);
    }

    /** Large inputs are used where they lie; large results are made where they are read. */
    private String preferredDomain(int stage, List<String> inputs) {
        Route.RouteStage step = mRoute.stages().get(stage);
        long inputBytes = 0;
        for (int input : step.dependencies()) {
            inputBytes += mPieces.get(input) * mRoute.stages().get(input).resultBytes();
        }
        if (inputBytes >= LARGE_BYTES) {
            return mRequest.domainOf(inputs);
        }
        boolean last = followers(stage).isEmpty();
        return last && step.resultBytes() >= LARGE_BYTES ? mRequest.readerDomain() : "";
    }

    /** Returns the time of the stages that follow, along the longest way. */
    private long laterMillis(int stage) {
        long longest = 0;
        for (int follower : followers(stage)) {
            String service = mRoute.stages().get(follower).service();
            longest = Math.max(longest, mRequest.stageMillis(service) + laterMillis(follower));
        }
        return longest;
    }

    private void onResults(int stage, StageJob job, List<PieceResult> results) {
        mRunning.remove(stage);
        List<CompletedPiece> made = job.completedPieces(results);
        PieceResult.Outcome failure = null;
        for (PieceResult result : results) {
            if (result.outcome() != PieceResult.Outcome.MADE) {
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
        mHandles.put(stage, made.stream().map(CompletedPiece::handle).toList());
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
            if (mRoute.stages().get(i).dependencies().contains(stage)) {
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
        List<CompletedPiece> made = new ArrayList<>();
        for (int piece = 0; piece < handles.size(); piece++) {
            made.add(new CompletedPiece(mRequestId, stage, piece, handles.get(piece)));
        }
        mHandles.replace(stage, List.of());
        release(stage, made);
    }

    private void release(int stage, List<CompletedPiece> made) {
        mWork.release(mRoute.stages().get(stage).service(), made);
    }

    /** What a plan needs to know of its request. */
    interface RequestView {
        /** Returns the rank of the request; 0 is the most important. */
        int rank();

        /** Returns the failure domain in which most results lie; empty when it is not known. */
        String domainOf(List<String> handles);

        /** Returns the failure domain of the server that will read the last results. */
        String readerDomain();

        /** Returns the time left until the request should be answered. */
        long targetMillis();

        /** Returns the time left until the request ends. */
        long deadlineMillis();

        /** Returns the time left until an answer that has not begun is not worth waiting for. */
        long giveUpMillis();

        /** Returns the typical time of a call to a stage service. */
        long stageMillis(String service);
    }

    /** Told once about the end of the stages. */
    interface Listener {
        /** All stages are done; receives the handles that the request itself needs. */
        void stagesDone(List<String> inputs);

        /** A stage failed. */
        void stagesFailed(PieceResult.Outcome outcome);
    }
}
