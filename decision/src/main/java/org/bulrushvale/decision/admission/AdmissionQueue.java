package org.bulrushvale.decision.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.bulrushvale.decision.admission.QueueAccounting.Entry;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.ErrorCode;

/**
 * Serves classes below their target first, then the least slack, with deficit round robin over
 * workspaces.
 *
 * <p>When the waiting work cannot all start in time, the request of the lowest worth is refused
 * first, among the classes that meet their target before the others. Equal worth is taken from the
 * workspace with the most waiting work for its share. A request that can no longer finish in time
 * is refused as soon as that is known.
 *
 * <p>A round of the deficit round robin credits every waiting workspace in proportion to its share;
 * a workspace is served when its credit covers the cost of its next request. Fractional rounds are
 * counted in one step, so a small share needs no loop.
 *
 * <p>Invariant: at most {@code capacity} requests wait; offering and polling cost time linear in
 * that bound. Thread safety: not safe; owned by the event loop.
 *
 * @param <T> what the caller wants back
 */
public final class AdmissionQueue<T> implements RequestQueue<T> {
    private final Clock mClock;
    private final int mCapacity;
    private final Predicate<String> mBelowTarget;
    private final IntSupplier mSlots;
    private final QueueAccounting mWaiting = new QueueAccounting();

    /** Ordered by the latest start; a list, because every operation walks it. */
    private final List<Entry<T>> mEntries = new ArrayList<>();

    private long mSequence;
    private long mPass;

    /**
     * Creates an empty queue.
     *
     * @param clock source of time
     * @param capacity largest number of waiting requests
     * @param belowTarget tells whether a class attains less than its target
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
        removeLate(refused::add);
        mWaiting.refresh(mBelowTarget);
        insert(mWaiting.enter(request, mSequence++, mBelowTarget.test(request.workClass())));
        if (mEntries.size() > mCapacity) {
            drop(mEntries, refused);
        }
        dropWhatCannotStartInTime(refused);
        return refused;
    }

    @Override
    public Optional<QueuedRequest<T>> poll(Consumer<RefusedRequest<T>> refused) {
        removeLate(refused);
        if (mEntries.isEmpty()) {
            return Optional.empty();
        }
        mWaiting.refresh(mBelowTarget);
        List<Entry<T>> heads = heads(mWaiting.anyBelow());
        Entry<T> best = heads.get(0);
        for (Entry<T> head : heads) {
            best = head.rounds() < best.rounds() ? head : best;
        }
        double rounds = best.rounds();
        heads.forEach(head -> head.credit(rounds));
        best.charge();
        mEntries.remove(best);
        mWaiting.leave(best);
        return Optional.of(best.request());
    }

    @Override
    public boolean removeIf(Predicate<T> cancelled) {
        return mEntries.removeIf(
                entry -> {
                    boolean remove = cancelled.test(entry.request().payload());
                    if (remove) {
                        mWaiting.leave(entry);
                    }
                    return remove;
                });
    }

    @Override
    public int size() {
        return mEntries.size();
    }

    private void insert(Entry<T> entry) {
        int low = 0;
        int high = mEntries.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (mEntries.get(middle).latestStart() <= entry.latestStart()) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        mEntries.add(low, entry);
    }

    /** Returns the request with the least slack of each workspace within one group of classes. */
    private List<Entry<T>> heads(boolean below) {
        mPass++;
        List<Entry<T>> heads = new ArrayList<>();
        for (Entry<T> entry : mEntries) {
            if (entry.below() == below && entry.firstInPass(mPass)) {
                heads.add(entry);
                if (heads.size() == mWaiting.workspaces()) {
                    break;
                }
            }
        }
        return heads;
    }

    private void removeLate(Consumer<RefusedRequest<T>> refused) {
        long now = mClock.monotonicNanos();
        int late = 0;
        while (late < mEntries.size() && mEntries.get(late).latestStart() < now) {
            Entry<T> entry = mEntries.get(late++);
            mWaiting.leave(entry);
            refused.accept(new RefusedRequest<>(entry.request(), ErrorCode.DEADLINE_UNREACHABLE));
        }
        mEntries.subList(0, late).clear();
    }

    /**
     * Walks the requests in the order of service and refuses one whenever the work ahead delays a
     * request beyond its latest start. Shares are left out here: they move a request by less than
     * the estimates err.
     */
    private void dropWhatCannotStartInTime(List<RefusedRequest<T>> refused) {
        int slots = Math.max(1, mSlots.getAsInt());
        long now = mClock.monotonicNanos();
        List<Entry<T>> ahead = new ArrayList<>(mEntries.size());
        long work = 0;
        for (boolean below : new boolean[] {true, false}) {
            for (Entry<T> entry : List.copyOf(mEntries)) {
                if (entry.below() != below) {
                    continue;
                }
                ahead.add(entry);
                boolean late = now + work / slots > entry.latestStart();
                work += entry.workNanos();
                if (late) {
                    Entry<T> victim = drop(ahead, refused);
                    ahead.remove(victim);
                    work -= victim.workNanos();
                }
            }
        }
    }

    /** Refuses the candidate that comes first in the order of refusal. */
    private Entry<T> drop(List<Entry<T>> candidates, List<RefusedRequest<T>> refused) {
        Entry<T> victim = candidates.get(0);
        for (Entry<T> entry : candidates) {
            victim = entry.isDroppedBefore(victim) ? entry : victim;
        }
        mEntries.remove(victim);
        mWaiting.leave(victim);
        refused.add(new RefusedRequest<>(victim.request(), ErrorCode.OVERLOADED));
        return victim;
    }
}
