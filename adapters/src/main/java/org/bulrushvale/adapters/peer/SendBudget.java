package org.bulrushvale.adapters.peer;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limit on the bytes that wait to be written to one peer.
 *
 * <p>Invariant: the bytes of all successful reservations never exceed the limit. Thread safety:
 * safe for use by any thread.
 */
final class SendBudget {
    private final int mMaxBytes;
    private final AtomicInteger mReservedBytes = new AtomicInteger();

    SendBudget(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    boolean reserve(int bytes) {
        if (mReservedBytes.addAndGet(bytes) <= mMaxBytes) {
            return true;
        }
        mReservedBytes.addAndGet(-bytes);
        return false;
    }

    void release(int bytes) {
        mReservedBytes.addAndGet(-bytes);
    }
}
