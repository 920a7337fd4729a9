package org.bulrushvale.daemon;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/**
 * Attempts that wait until a backend server may receive them, in order of arrival.
 *
 * <p>Invariant: at most {@code capacity} attempts wait. Thread safety: owned by the event loop.
 */
final class WaitingAttempts {
    private final int mCapacity;
    private final Deque<BooleanSupplier> mQueue = new ArrayDeque<>();

    WaitingAttempts(int capacity) {
        mCapacity = capacity;
    }

    /**
     * Adds an attempt; false when the queue is full.
     *
     * @param launch tries to launch the attempt; true removes it from the queue
     */
    boolean add(BooleanSupplier launch) {
        if (mQueue.size() >= mCapacity) {
            return false;
        }
        mQueue.addLast(launch);
        return true;
    }

    /** Tries every waiting attempt once. */
    void retryAll() {
        for (int left = mQueue.size(); left > 0; left--) {
            BooleanSupplier next = mQueue.removeFirst();
            if (!next.getAsBoolean()) {
                mQueue.addLast(next);
            }
        }
    }

    int size() {
        return mQueue.size();
    }
}
