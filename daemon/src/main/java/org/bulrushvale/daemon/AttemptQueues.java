package org.bulrushvale.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.bulrushvale.decision.admission.AdmissionQueue;
import org.bulrushvale.decision.admission.QueuedRequest;
import org.bulrushvale.decision.admission.RefusedRequest;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.ErrorCode;

/**
 * Queues attempts until a backend server may receive them, in one admission queue per pool.
 *
 * <p>Invariant: an attempt waits in at most one queue; an attempt that leaves its queue is either
 * launched or refused. Thread safety: owned by the event loop.
 */
final class AttemptQueues {
    private final Clock mClock;
    private final int mCapacity;
    private final Predicate<String> mIsBelowTarget;
    private final ServerPicker mPicker;
    private final Consumer<Runnable> mScheduler;
    private final Map<String, AdmissionQueue<QueuedAttempt>> mQueues = new HashMap<>();
    private boolean mCheckScheduled;

    /**
     * Creates empty queues.
     *
     * @param scheduler runs a task on the event loop after a short delay
     */
    AttemptQueues(
            Clock clock,
            int capacity,
            Predicate<String> isBelowTarget,
            ServerPicker picker,
            Consumer<Runnable> scheduler) {
        mClock = clock;
        mCapacity = capacity;
        mIsBelowTarget = isBelowTarget;
        mPicker = picker;
        mScheduler = scheduler;
    }

    /**
     * An attempt in a queue.
     *
     * <p>Thread safety: owned by the event loop.
     */
    interface QueuedAttempt {
        /** Sends the attempt if it is still needed; returns false when no server may receive it. */
        boolean launch();

        /** Ends the request of the attempt. */
        void refuse(ErrorCode code);
    }

    /** Launches an attempt for a pool if possible, else queues it. */
    void add(String pool, QueuedRequest<QueuedAttempt> request) {
        AdmissionQueue<QueuedAttempt> queue =
                mQueues.computeIfAbsent(
                        pool,
                        name ->
                                new AdmissionQueue<>(
                                        mClock,
                                        mCapacity,
                                        mIsBelowTarget,
                                        () -> mPicker.slots(name)));
        if (queue.size() == 0 && mPicker.hasRoom(pool) && request.payload().launch()) {
            return;
        }
        refuse(queue.offer(request));
        serve(pool, queue);
        scheduleCheck();
    }

    /**
     * Serves the queues periodically while attempts wait, because limits also grow without an event
     * and attempts that become late must be refused.
     */
    private void check() {
        mCheckScheduled = false;
        serveAll();
        scheduleCheck();
    }

    private void scheduleCheck() {
        if (!mCheckScheduled && size() > 0) {
            mCheckScheduled = true;
            mScheduler.accept(this::check);
        }
    }

    /** Launches or refuses the waiting attempts of every pool, as far as possible. */
    void serveAll() {
        List.copyOf(mQueues.keySet()).forEach(this::serve);
    }

    /** Launches or refuses the waiting attempts of one pool, as far as possible. */
    void serve(String pool) {
        AdmissionQueue<QueuedAttempt> queue = mQueues.get(pool);
        if (queue != null) {
            serve(pool, queue);
        }
    }

    /** Returns true when no attempt waits for the pool. */
    boolean isEmpty(String pool) {
        AdmissionQueue<QueuedAttempt> queue = mQueues.get(pool);
        return queue == null || queue.size() == 0;
    }

    int size() {
        return mQueues.values().stream().mapToInt(AdmissionQueue::size).sum();
    }

    private void serve(String pool, AdmissionQueue<QueuedAttempt> queue) {
        // A suspected poison request may have to wait for a particular server while other servers
        // have room, so it must not block the queue.
        List<QueuedRequest<QueuedAttempt>> unlaunched = new ArrayList<>();
        while (queue.size() > 0 && mPicker.hasRoom(pool)) {
            List<RefusedRequest<QueuedAttempt>> refused = new ArrayList<>();
            Optional<QueuedRequest<QueuedAttempt>> next = queue.poll(refused::add);
            refuse(refused);
            if (next.isPresent() && !next.get().payload().launch()) {
                unlaunched.add(next.get());
            }
        }
        unlaunched.forEach(request -> refuse(queue.offer(request)));
    }

    private static void refuse(List<RefusedRequest<QueuedAttempt>> refused) {
        refused.forEach(refusal -> refusal.request().payload().refuse(refusal.code()));
    }
}
