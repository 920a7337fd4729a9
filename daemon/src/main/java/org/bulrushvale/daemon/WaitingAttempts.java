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
 * Attempts that wait until a backend server may receive them, one admission queue per pool.
 *
 * <p>Invariant: an attempt waits in at most one queue; each one that leaves it is either launched
 * or refused. Thread safety: owned by the event loop.
 */
final class WaitingAttempts {
    private final Clock mClock;
    private final int mCapacity;
    private final Predicate<String> mBelowTarget;
    private final ServerPicker mPicker;
    private final Consumer<Runnable> mLater;
    private final Map<String, AdmissionQueue<Waiting>> mQueues = new HashMap<>();
    private boolean mTicking;

    /**
     * Creates queues without attempts.
     *
     * @param later runs a task on the event loop after a short delay
     */
    WaitingAttempts(
            Clock clock,
            int capacity,
            Predicate<String> belowTarget,
            ServerPicker picker,
            Consumer<Runnable> later) {
        mClock = clock;
        mCapacity = capacity;
        mBelowTarget = belowTarget;
        mPicker = picker;
        mLater = later;
    }

    /**
     * One waiting attempt.
     *
     * <p>Thread safety: owned by the event loop.
     */
    interface Waiting {
        /** Sends the attempt if it is still wanted; false when no server may receive it. */
        boolean launch();

        /** Ends the request of the attempt. */
        void refuse(ErrorCode code);
    }

    /** Adds an attempt for a pool and serves the pool. */
    void add(String pool, QueuedRequest<Waiting> request) {
        AdmissionQueue<Waiting> queue =
                mQueues.computeIfAbsent(
                        pool,
                        name ->
                                new AdmissionQueue<>(
                                        mClock,
                                        mCapacity,
                                        mBelowTarget,
                                        () -> mPicker.slots(name)));
        if (queue.size() == 0 && mPicker.hasRoom(pool) && request.payload().launch()) {
            return;
        }
        refuse(queue.offer(request));
        serve(pool, queue);
        scheduleTick();
    }

    /** Limits also grow without an event, and late attempts are refused, while any wait. */
    private void tick() {
        mTicking = false;
        serveAll();
        scheduleTick();
    }

    private void scheduleTick() {
        if (!mTicking && size() > 0) {
            mTicking = true;
            mLater.accept(this::tick);
        }
    }

    /** Serves every pool. */
    void serveAll() {
        List.copyOf(mQueues.keySet()).forEach(this::serve);
    }

    /** Serves one pool. */
    void serve(String pool) {
        AdmissionQueue<Waiting> queue = mQueues.get(pool);
        if (queue != null) {
            serve(pool, queue);
        }
    }

    /** Returns true when no attempt waits for the pool. */
    boolean isEmpty(String pool) {
        AdmissionQueue<Waiting> queue = mQueues.get(pool);
        return queue == null || queue.size() == 0;
    }

    int size() {
        return mQueues.values().stream().mapToInt(AdmissionQueue::size).sum();
    }

    private void serve(String pool, AdmissionQueue<Waiting> queue) {
        // A suspected poison request may wait for a server of its own while others have room.
        List<QueuedRequest<Waiting>> held = new ArrayList<>();
        while (queue.size() > 0 && mPicker.hasRoom(pool)) {
            List<RefusedRequest<Waiting>> refused = new ArrayList<>();
            Optional<QueuedRequest<Waiting>> next = queue.poll(refused::add);
            refuse(refused);
            if (next.isPresent() && !next.get().payload().launch()) {
                held.add(next.get());
            }
        }
        held.forEach(request -> refuse(queue.offer(request)));
    }

    private static void refuse(List<RefusedRequest<Waiting>> refused) {
        refused.forEach(refusal -> refusal.request().payload().refuse(refusal.code()));
    }
}
