package org.bulrushvale.daemon.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerMessage.StageResults;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.decision.forward.Route;

/**
 * Runs the stages of one request in the dependency order of its route.
 *
 * <p>Invariant: the inputs of a piece are the results of all pieces of the stages that its own
 * stage depends on, and only results of the same request. Thread safety: used on the event loop.
 */
final class StageScheduler {
    // Moving a smaller result to another failure domain costs less than waiting for a server in
    // the domain of the result.
    private static final long LARGE_RESULT_BYTES = 100_000;

    // How long a piece of a stage without dependencies may still start after the latest start that
    // meets the latency target; about the duration of one stage call.
    private static final long FIRST_STAGE_GRACE_MILLIS = 300;

    private final StageExecutor mExecutor;
    private final Route mRoute;
    private final String mRequestId;
    private final String mPieceKey;
    private final List<Integer> mPieceCounts;
    private final RequestContext mRequest;
    private final Listener mListener;
    private final Map<Integer, List<String>> mHandlesByStage = new HashMap<>();
    private final Map<Integer, Runnable> mCancelByStage = new HashMap<>();
    private final Set<Integer> mStagesWithInputsRead = new HashSet<>();
    private boolean mEnded;

    StageScheduler(
            StageExecutor executor,
            Route route,
            String requestId,
            String pieceKey,
            List<Integer> statedPieceCounts,
            RequestContext request,
            Listener listener) {
        mExecutor = executor;
        mRoute = route;
        mRequestId = requestId;
        mPieceKey = pieceKey;
        mPieceCounts = padToStageCount(statedPieceCounts, route.stages().size());
        mRequest = request;
        mListener = listener;
    }

    private static List<Integer> padToStageCount(List<Integer> pieces, int stages) {
        List<Integer> padded = new ArrayList<>(pieces);
        padded.addAll(Collections.nCopies(Math.max(0, stages - pieces.size()), 0));
        return padded.subList(0, stages);
    }

    /**
     * Starts every stage whose inputs are available; notifies the listener once when all stages are
     * done.
     */
    void startReadyStages() {
        for (int stage = 0; stage < mPieceCounts.size() && !mEnded; stage++) {
            if (mPieceCounts.get(stage) > 0
                    && !isDone(stage)
                    && !mCancelByStage.containsKey(stage)) {
                if (mRoute.stages().get(stage).dependencies().stream().allMatch(this::isDone)
                        && mayStart(stage)) {
                    start(stage);
                }
            }
        }
        if (mCancelByStage.isEmpty() && !mEnded) {
            mEnded = true;
            mListener.stagesDone(inputHandles(mRoute.finalStages(mPieceCounts)));
        }
    }

    /** Returns true when a stage has work to do. */
    boolean hasPieces() {
        return mPieceCounts.stream().anyMatch(pieces -> pieces > 0);
    }

    private boolean mayStart(int stage) {
        long longestOther = 0;
        long longestFollowing = 0;
        for (int other = 0; other < mPieceCounts.size(); other++) {
            if (other != stage && !isDone(other)) {
                longestOther = Math.max(longestOther, pathMillis(other));
                longestFollowing = Math.max(longestFollowing, followingStagesMillis(other));
            }
        }
        return mRequest.stages()
                .start()
                .mayStart(pathMillis(stage), longestOther, longestFollowing);
    }

    /** Returns the typical time of a stage and of those that depend on it, in ms. */
    private long pathMillis(int stage) {
        return mRequest.typicalStageMillis(mRoute.stages().get(stage).service())
                + followingStagesMillis(stage);
    }

    private boolean isDone(int stage) {
        return mPieceCounts.get(stage) == 0 || mHandlesByStage.containsKey(stage);
    }

    private List<String> inputHandles(List<Integer> stages) {
        List<String> inputHandles = new ArrayList<>();
        stages.forEach(
                stage -> inputHandles.addAll(mHandlesByStage.getOrDefault(stage, List.of())));
        return inputHandles;
    }

    private void start(int stage) {
        Route.RouteStage routeStage = mRoute.stages().get(stage);
        List<String> inputHandles = inputHandles(routeStage.dependencies());
        long millisToDeadline = mRequest.millisToDeadline();
        long followingMillis =
                mRequest.typicalStageMillis(routeStage.service()) + followingStagesMillis(stage);
        long startByMillis = mRequest.millisToTarget() - followingMillis;
        long giveUpMillis = mRequest.millisToGiveUp() - followingMillis;
        if (mRequest.admission().patience() && giveUpMillis <= 0) {
            mEnded = true;
            mListener.stagesFailed(PieceResult.Outcome.LATE, StageResults.NO_RETURN_TIME);
            return;
        }
        List<PieceOrder> orders = new ArrayList<>();
        for (int piece = 0; piece < mPieceCounts.get(stage); piece++) {
            String key = inputHandles.isEmpty() ? mPieceKey : "";
            orders.add(
                    new PieceOrder(mRequestId, stage, piece, millisToDeadline, key, inputHandles));
        }
        if (routeStage.dependencies().isEmpty() && !mRequest.admission().queue()) {
            // A refusal here loses no results of earlier stages, and a caller that is refused early
            // can still retry before its deadline.
            giveUpMillis =
                    Math.min(giveUpMillis, Math.max(0, startByMillis) + FIRST_STAGE_GRACE_MILLIS);
        }
        StageJob job =
                new StageJob(
                        routeStage.service(),
                        orders,
                        startByMillis,
                        giveUpMillis,
                        mRequest.rank(),
                        mRequest.workspace(),
                        routeStage.resultBytes(),
                        preferredDomain(stage, inputHandles));
        // Marks the stage as running first, because execute() may deliver the results before it
        // returns.
        mCancelByStage.put(stage, () -> {});
        Runnable cancel =
                mExecutor.execute(
                        job, () -> onInputsRead(stage), results -> onResults(stage, job, results));
        mCancelByStage.replace(stage, cancel);
    }

    /**
     * Returns the failure domain in which the pieces should run: that of their inputs when these
     * are large, else that of the server that reads the results when these are large; empty when
     * any domain will do.
     */
    private String preferredDomain(int stage, List<String> inputHandles) {
        Route.RouteStage routeStage = mRoute.stages().get(stage);
        long inputBytes = 0;
        for (int input : routeStage.dependencies()) {
            inputBytes += mPieceCounts.get(input) * mRoute.stages().get(input).resultBytes();
        }
        if (inputBytes >= LARGE_RESULT_BYTES) {
            return mRequest.domainOf(inputHandles);
        }
        boolean isFinal = dependents(stage).isEmpty();
        return isFinal && routeStage.resultBytes() >= LARGE_RESULT_BYTES
                ? mRequest.readerDomain()
                : "";
    }

    /** Returns the typical time of the dependent stages, along the longest path. */
    private long followingStagesMillis(int stage) {
        long longest = 0;
        for (int dependent : dependents(stage)) {
            String service = mRoute.stages().get(dependent).service();
            longest =
                    Math.max(
                            longest,
                            mRequest.typicalStageMillis(service)
                                    + followingStagesMillis(dependent));
        }
        return longest;
    }

    private void onInputsRead(int stage) {
        if (!mEnded) {
            mStagesWithInputsRead.add(stage);
            releaseConsumedResults();
        }
    }

    private void onResults(int stage, StageJob job, StageResults answer) {
        List<PieceResult> results = answer.results();
        mCancelByStage.remove(stage);
        List<CompletedPiece> completed = job.completedPieces(results);
        PieceResult.Outcome failure = null;
        for (PieceResult result : results) {
            if (result.outcome() != PieceResult.Outcome.MADE) {
                failure = result.outcome();
            }
        }
        if (mEnded || failure != null) {
            release(stage, completed);
            if (!mEnded && failure != null) {
                mEnded = true;
                mListener.stagesFailed(failure, answer.retryAfterMillis());
            }
            return;
        }
        mHandlesByStage.put(stage, completed.stream().map(CompletedPiece::handle).toList());
        releaseConsumedResults();
        startReadyStages();
    }

    /** Releases the results that every dependent stage has consumed. */
    private void releaseConsumedResults() {
        List<Integer> finalStages = mRoute.finalStages(mPieceCounts);
        for (int stage = 0; stage < mPieceCounts.size(); stage++) {
            int candidate = stage;
            boolean consumed =
                    !finalStages.contains(stage)
                            && mHandlesByStage.containsKey(stage)
                            && dependents(candidate).stream().allMatch(this::hasReadInputs);
            if (consumed) {
                releaseStage(stage);
            }
        }
    }

    private boolean hasReadInputs(int stage) {
        return isDone(stage) || mStagesWithInputsRead.contains(stage);
    }

    private List<Integer> dependents(int stage) {
        List<Integer> dependents = new ArrayList<>();
        for (int i = 0; i < mPieceCounts.size(); i++) {
            if (mRoute.stages().get(i).dependencies().contains(stage)) {
                dependents.add(i);
            }
        }
        return dependents;
    }

    /** Releases all results and cancels all stages in progress. */
    void release() {
        mEnded = true;
        mCancelByStage.values().forEach(Runnable::run);
        mCancelByStage.clear();
        List.copyOf(mHandlesByStage.keySet()).forEach(this::releaseStage);
    }

    private void releaseStage(int stage) {
        List<String> handles = mHandlesByStage.getOrDefault(stage, List.of());
        List<CompletedPiece> completed = new ArrayList<>();
        for (int piece = 0; piece < handles.size(); piece++) {
            completed.add(new CompletedPiece(mRequestId, stage, piece, handles.get(piece)));
        }
        mHandlesByStage.replace(stage, List.of());
        release(stage, completed);
    }

    private void release(int stage, List<CompletedPiece> completed) {
        mExecutor.release(mRoute.stages().get(stage).service(), completed);
    }

    /** The properties of a request that the scheduling of its stages depends on. */
    interface RequestContext {
        /** Returns the priority rank of the request; 0 is the most important. */
        int rank();

        /** Returns how the stages of requests are run. */
        ForwardSettings.Stages stages();

        /** Returns the name of the caller's workspace; empty when it has none. */
        String workspace();

        /** Returns the failure domain that holds most of the results; empty when it is unknown. */
        String domainOf(List<String> handles);

        /**
         * Returns the failure domain of the server that would receive the request now and read the
         * final results; empty when there is none.
         */
        String readerDomain();

        /**
         * Returns the time left until the request should be sent to its server to meet the latency
         * target, in ms; negative after that.
         */
        long millisToTarget();

        /** Returns the time left until the deadline of the request, in ms. */
        long millisToDeadline();

        /** Returns the time left until it is useless to send the request to its server, in ms. */
        long millisToGiveUp();

        /** Returns the rules by which the stages are admitted. */
        ForwardSettings.Admission admission();

        /** Returns the typical time that a piece waits for and spends in a stage call, in ms. */
        long typicalStageMillis(String service);
    }

    /** Receives the outcome of the stages, once. */
    interface Listener {
        /**
         * Called when all stages are done.
         *
         * @param inputHandles handles of the results that the request itself needs
         */
        void stagesDone(List<String> inputHandles);

        /**
         * Called when a stage failed.
         *
         * @param returnMillis time after which the caller should return, in ms; {@link
         *     StageResults#NO_RETURN_TIME} for none
         */
        void stagesFailed(PieceResult.Outcome outcome, long returnMillis);
    }
}
