package org.bulrushvale.decision.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.bulrushvale.decision.admission.QueueAccounting.WaitingRequest;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.ErrorCode;

/**
 * Request queue that considers attainment, deadlines, worth and workspace shares.
 *
 * <p>Order of service: requests of classes that are below their target come before those of classes
 * that meet it. Within each of these two groups, deficit round robin selects the workspace, and the
 * request of that workspace with the least slack is served.
 *
 * <p>Order of refusal: when not all waiting requests can start in time, or the queue is full,
 * requests of classes that meet their target are refused before the others, and a lower worth
 * before a higher one. At equal worth, the workspace with the most waiting work relative to its
 * share loses a request. A request that can no longer finish in time is refused as soon as an
 * operation on the queue finds it.
 *
 * <p>Each round of the deficit round robin credits every waiting workspace in proportion to its
 * share. A workspace is served when its credit covers the cost of its next request. The number of
 * rounds may be fractional and is credited in one step, so a workspace with a small share does not
 * need a loop over many rounds.
 *
 * <p>Invariant: at most {@code capacity} requests wait; polling takes time linear in {@code
 * capacity}, and so does offering, plus linear time for each request that it refuses. Thread
 * safety: not safe; owned by the event loop.
 *
 * @param <T> payload type of the queued requests
 */
public final class AdmissionQueue<T> implements RequestQueue<T> {
    private final Clock mClock;
    private final int mCapacity;
    private final Predicate<String> mBelowTarget;
    private final IntSupplier mSlots;
    private final QueueAccounting mAccounting = new QueueAccounting();

    /** Ordered by latest start time; a list, because every operation iterates over it. */
    private final List<WaitingRequest<T>> mQueue = new ArrayList<>();

    private long mSequence;
    private long mScan;

    /**
     * Creates an empty queue.
     *
     * @param clock clock that deadlines are compared with
     * @param capacity maximum number of waiting requests
     * @param belowTarget returns true when the named class is below its target
     * @param slots number of requests that can run at the same time
     */
    public AdmissionQueue(
            Clock clock, int capacity, Predicate<String> belowTarget, IntSupplier slots) {
        mClock = clock;
        mCapacity = capacity;
        mBelowTarget = belowTarget;
        mSlots = slots;
    }

    @Override
    public List<RefusedRequest<T>> offer(QueuedRequest<T> request) {
        if (request.latestStartNanos() < mClock.monotonicNanos()) {
            return List.of(new RefusedRequest<>(request, ErrorCode.DEADLINE_UNREACHABLE));
        }
        List<RefusedRequest<T>> refused = new ArrayList<>();
        refuseLate(refused::add);
        mAccounting.updateBelowTarget(mBelowTarget);
        insert(mAccounting.add(request, mSequence++, mBelowTarget.test(request.workClass())));
        if (mQueue.size() > mCapacity) {
            refuseOne(mQueue, refused);
        }
        refuseExcessWork(refused);
        return refused;
    }

    @Override
    public Optional<QueuedRequest<T>> poll(Consumer<RefusedRequest<T>> refused) {
        refuseLate(refused);
        if (mQueue.isEmpty()) {
            return Optional.empty();
        }
        mAccounting.updateBelowTarget(mBelowTarget);
        List<WaitingRequest<T>> heads = workspaceHeads(mAccounting.isAnyClassBelowTarget());
        WaitingRequest<T> best = heads.get(0);
        for (WaitingRequest<T> head : heads) {
            best = head.roundsUntilAffordable() < best.roundsUntilAffordable() ? head : best;
        }
        double rounds = best.roundsUntilAffordable();
        heads.forEach(head -> head.addCredit(rounds));
        best.chargeCost();
        mQueue.remove(best);
        mAccounting.remove(best);
        return Optional.of(best.request());
    }

    @Override
    public boolean removeIf(Predicate<T> cancelled) {
        return mQueue.removeIf(
                waiting -> {
                    boolean remove = cancelled.test(waiting.request().payload());
                    if (remove) {
                        mAccounting.remove(waiting);
                    }
                    return remove;
                });
    }

    @Override
    public int size() {
        return mQueue.size();
    }

    private void insert(WaitingRequest<T> waiting) {
        int low = 0;
        int high = mQueue.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (mQueue.get(middle).latestStartNanos() <= waiting.latestStartNanos()) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        mQueue.add(low, waiting);
    }

    /**
     * Returns, for each workspace, the waiting request with the least slack among the classes that
     * are below their target, or among those that meet it.
     */
    private List<WaitingRequest<T>> workspaceHeads(boolean belowTarget) {
        mScan++;
        List<WaitingRequest<T>> heads = new ArrayList<>();
        for (WaitingRequest<T> waiting : mQueue) {
            if (waiting.isBelowTarget() == belowTarget && waiting.isFirstOfWorkspaceInScan(mScan)) {
                heads.add(waiting);
                if (heads.size() == mAccounting.workspaceCount()) {
                    break;
                }
            }
        }
        return heads;
    }

    /** Refuses the requests whose latest start time has passed. */
    private void refuseLate(Consumer<RefusedRequest<T>> refused) {
        long now = mClock.monotonicNanos();
        int late = 0;
        while (late < mQueue.size() && mQueue.get(late).latestStartNanos() < now) {
            WaitingRequest<T> waiting = mQueue.get(late++);
            mAccounting.remove(waiting);
            refused.accept(new RefusedRequest<>(waiting.request(), ErrorCode.DEADLINE_UNREACHABLE));
        }
        mQueue.subList(0, late).clear();
    }

    /**
     * Estimates the start time of each request in the order of service, and refuses one request
     * each time the estimate is past the latest start of the request that it is made for. Workspace
     * shares are ignored: they shift a start time by less than the error of the estimated
     * durations.
     */
    private void refuseExcessWork(List<RefusedRequest<T>> refused) {
        int slots = Math.max(1, mSlots.getAsInt());
        long now = mClock.monotonicNanos();
        List<WaitingRequest<T>> ahead = new ArrayList<>(mQueue.size());
        long work = 0;
        for (boolean belowTarget : new boolean[] {true, false}) {
            for (WaitingRequest<T> waiting : List.copyOf(mQueue)) {
                if (waiting.isBelowTarget() != belowTarget) {
                    continue;
                }
                ahead.add(waiting);
                boolean late = now + work / slots > waiting.latestStartNanos();
                work += waiting.workNanos();
                if (late) {
                    WaitingRequest<T> victim = refuseOne(ahead, refused);
                    ahead.remove(victim);
                    work -= victim.workNanos();
                }
            }
        }
    }

    /** Refuses the candidate that comes first in the order of refusal, and returns it. */
    private WaitingRequest<T> refuseOne(
            List<WaitingRequest<T>> candidates, List<RefusedRequest<T>> refused) {
        WaitingRequest<T> victim = candidates.get(0);
        for (WaitingRequest<T> waiting : candidates) {
            victim = waiting.isRefusedBefore(victim) ? waiting : victim;
        }
        mQueue.remove(victim);
        mAccounting.remove(victim);
        refused.add(new RefusedRequest<>(victim.request(), ErrorCode.OVERLOADED));
        return victim;
    }
}
