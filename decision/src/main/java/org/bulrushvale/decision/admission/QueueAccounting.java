package org.bulrushvale.decision.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * State that waiting requests share: for each class, whether it is below its target; for each
 * workspace, its credit in the deficit round robin and the sum of its waiting work.
 *
 * <p>Invariant: a class or workspace without waiting requests has no state, so an idle workspace
 * keeps no credit. Thread safety: not safe; owned by the event loop.
 */
final class QueueAccounting {
    private final Map<String, ClassState> mClasses = new HashMap<>();
    private final Map<String, WorkspaceState> mWorkspaces = new HashMap<>();

    /** Updates, for each class with waiting requests, whether it is below its target. */
    void updateBelowTarget(Predicate<String> belowTarget) {
        mClasses.forEach((name, state) -> state.mBelowTarget = belowTarget.test(name));
    }

    boolean isAnyClassBelowTarget() {
        return mClasses.values().stream().anyMatch(state -> state.mBelowTarget);
    }

    int workspaceCount() {
        return mWorkspaces.size();
    }

    <T> WaitingRequest<T> add(QueuedRequest<T> request, long sequence, boolean belowTarget) {
        ClassState workClass =
                mClasses.computeIfAbsent(request.workClass(), name -> new ClassState());
        workClass.mBelowTarget = belowTarget;
        WorkspaceState workspace =
                mWorkspaces.computeIfAbsent(request.workspace(), name -> new WorkspaceState());
        WaitingRequest<T> waiting = new WaitingRequest<>(request, sequence, workClass, workspace);
        workClass.mCount++;
        workspace.mCount++;
        workspace.mShare = request.share();
        workspace.mBacklogMs += waiting.mCostMs;
        return waiting;
    }

    void remove(WaitingRequest<?> waiting) {
        waiting.mWorkspace.mBacklogMs -= waiting.mCostMs;
        if (--waiting.mClass.mCount == 0) {
            mClasses.remove(waiting.mRequest.workClass());
        }
        if (--waiting.mWorkspace.mCount == 0) {
            mWorkspaces.remove(waiting.mRequest.workspace());
        }
    }

    /** State of one class. */
    private static final class ClassState {
        private boolean mBelowTarget;
        private int mCount;
    }

    /** State of one workspace. Costs, credit and backlog are in milliseconds of work. */
    private static final class WorkspaceState {
        private double mShare;
        private double mCreditMs;
        private double mBacklogMs;
        private int mCount;
        private long mLastScan;
    }

    /**
     * One waiting request with references to the state of its class and its workspace.
     *
     * <p>Thread safety: not safe; owned by the event loop.
     */
    static final class WaitingRequest<T> {
        private static final double NANOS_PER_MS = 1e6;

        /** Lower limit, so that requests with a tiny estimated duration are not free. */
        private static final double MIN_COST_MS = 0.1;

        private final QueuedRequest<T> mRequest;
        private final long mSequence;
        private final long mLatestStartNanos;
        private final long mWorkNanos;
        private final double mCostMs;
        private final ClassState mClass;
        private final WorkspaceState mWorkspace;

        private WaitingRequest(
                QueuedRequest<T> request,
                long sequence,
                ClassState workClass,
                WorkspaceState workspace) {
            mRequest = request;
            mSequence = sequence;
            mLatestStartNanos = request.latestStartNanos();
            mWorkNanos = request.estimatedDuration().toNanos();
            mCostMs = Math.max(MIN_COST_MS, mWorkNanos / NANOS_PER_MS);
            mClass = workClass;
            mWorkspace = workspace;
        }

        QueuedRequest<T> request() {
            return mRequest;
        }

        long latestStartNanos() {
            return mLatestStartNanos;
        }

        long workNanos() {
            return mWorkNanos;
        }

        boolean isBelowTarget() {
            return mClass.mBelowTarget;
        }

        /**
         * Returns true when this is the first request of its workspace in a scan over the queue,
         * and marks the workspace as visited by that scan.
         *
         * @param scan number of the scan, different for each scan
         */
        boolean isFirstOfWorkspaceInScan(long scan) {
            boolean first = mWorkspace.mLastScan != scan;
            mWorkspace.mLastScan = scan;
            return first;
        }

        /** Returns the number of rounds until the credit of the workspace covers this request. */
        double roundsUntilAffordable() {
            return Math.max(0, mCostMs - mWorkspace.mCreditMs) / mWorkspace.mShare;
        }

        /** Credits the workspace for a number of rounds, which may be fractional. */
        void addCredit(double rounds) {
            mWorkspace.mCreditMs += rounds * mWorkspace.mShare;
        }

        /** Deducts the cost of this request from the credit of the workspace. */
        void chargeCost() {
            mWorkspace.mCreditMs -= mCostMs;
        }

        /** Returns true when this request comes before the other one in the order of refusal. */
        boolean isRefusedBefore(WaitingRequest<T> other) {
            if (isBelowTarget() != other.isBelowTarget()) {
                return !isBelowTarget();
            }
            if (mRequest.worth() != other.mRequest.worth()) {
                return mRequest.worth() < other.mRequest.worth();
            }
            double backlog = mWorkspace.mBacklogMs / mWorkspace.mShare;
            double otherBacklog = other.mWorkspace.mBacklogMs / other.mWorkspace.mShare;
            return backlog != otherBacklog ? backlog > otherBacklog : mSequence > other.mSequence;
        }
    }
}
