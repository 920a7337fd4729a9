package org.bulrushvale.decision.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What the waiting requests of a queue have in common: per class whether it is below its target,
 * per workspace its credit and its waiting work.
 *
 * <p>Invariant: a class or workspace without waiting requests has no state, so an idle workspace
 * keeps no credit. Thread safety: not safe; owned by the event loop.
 */
final class QueueAccounting {
    private final Map<String, ClassState> mClasses = new HashMap<>();
    private final Map<String, WorkspaceState> mWorkspaces = new HashMap<>();

    /** Reads again which classes are below their target. */
    void refresh(Predicate<String> belowTarget) {
        mClasses.forEach((name, state) -> state.mBelow = belowTarget.test(name));
    }

    boolean anyBelow() {
        return mClasses.values().stream().anyMatch(state -> state.mBelow);
    }

    int workspaces() {
        return mWorkspaces.size();
    }

    <T> Entry<T> enter(QueuedRequest<T> request, long sequence, boolean below) {
        ClassState workClass =
                mClasses.computeIfAbsent(request.workClass(), name -> new ClassState());
        workClass.mBelow = below;
        WorkspaceState workspace =
                mWorkspaces.computeIfAbsent(request.workspace(), name -> new WorkspaceState());
        Entry<T> entry = new Entry<>(request, sequence, workClass, workspace);
        workClass.mCount++;
        workspace.mCount++;
        workspace.mShare = request.share();
        workspace.mBacklog += entry.mCost;
        return entry;
    }

    void leave(Entry<?> entry) {
        entry.mWorkspace.mBacklog -= entry.mCost;
        if (--entry.mClass.mCount == 0) {
            mClasses.remove(entry.mRequest.workClass());
        }
        if (--entry.mWorkspace.mCount == 0) {
            mWorkspaces.remove(entry.mRequest.workspace());
        }
    }

    /** State of one class. */
    private static final class ClassState {
        private boolean mBelow;
        private int mCount;
    }

    /** State of one workspace; costs and credit are milliseconds of work. */
    private static final class WorkspaceState {
        private double mShare;
        private double mCredit;
        private double mBacklog;
        private int mCount;
        private long mSeenInPass;
    }

    /**
     * One waiting request with the state that it shares with others.
     *
     * <p>Thread safety: not safe; owned by the event loop.
     */
    static final class Entry<T> {
        private static final double NANOS_PER_MILLI = 1e6;

        /** Keeps requests with a tiny estimate from being free for their workspace. */
        private static final double MIN_COST = 0.1;

        private final QueuedRequest<T> mRequest;
        private final long mSequence;
        private final long mLatestStart;
        private final long mWorkNanos;
        private final double mCost;
        private final ClassState mClass;
        private final WorkspaceState mWorkspace;

        private Entry(
                QueuedRequest<T> request,
                long sequence,
                ClassState workClass,
                WorkspaceState workspace) {
            mRequest = request;
            mSequence = sequence;
            mLatestStart = request.latestStartNanos();
            mWorkNanos = request.work().toNanos();
            mCost = Math.max(MIN_COST, mWorkNanos / NANOS_PER_MILLI);
            mClass = workClass;
            mWorkspace = workspace;
        }

        QueuedRequest<T> request() {
            return mRequest;
        }

        long latestStart() {
            return mLatestStart;
        }

        long workNanos() {
            return mWorkNanos;
        }

        boolean below() {
            return mClass.mBelow;
        }

        /** Returns true for the first entry of a workspace in a pass. */
        boolean firstInPass(long pass) {
            boolean first = mWorkspace.mSeenInPass != pass;
            mWorkspace.mSeenInPass = pass;
            return first;
        }

        /** Returns the rounds until the workspace can pay for this request. */
        double rounds() {
            return Math.max(0, mCost - mWorkspace.mCredit) / mWorkspace.mShare;
        }

        void credit(double rounds) {
            mWorkspace.mCredit += rounds * mWorkspace.mShare;
        }

        void charge() {
            mWorkspace.mCredit -= mCost;
        }

        /** Returns true when this request is refused before the other one. */
        boolean isDroppedBefore(Entry<T> other) {
            if (below() != other.below()) {
                return !below();
            }
            if (mRequest.worth() != other.mRequest.worth()) {
                return mRequest.worth() < other.mRequest.worth();
            }
            double backlog = mWorkspace.mBacklog / mWorkspace.mShare;
            double otherBacklog = other.mWorkspace.mBacklog / other.mWorkspace.mShare;
            return backlog != otherBacklog ? backlog > otherBacklog : mSequence > other.mSequence;
        }
    }
}
