package org.bulrushvale.adapters.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * What the transport keeps per peer that it sends to: the link, waiting frames, open requests and
 * the reconnect backoff.
 *
 * <p>Invariants: at most one link; frames wait only while a link is being opened; a request stays
 * open until it is answered, overdue or its link closes.
 *
 * <p>Thread safety: not safe except for the budget; owned by the transport's thread.
 */
final class DialledPeer {
    private final String mVm;
    private final SendBudget mBudget;
    private final long mMinBackoffNanos;
    private final long mMaxBackoffNanos;
    private final Deque<OutFrame> mWaiting = new ArrayDeque<>();
    private final Map<Long, OutFrame> mRequests = new HashMap<>();
    private @Nullable PeerLink mLink;
    private long mBackoffNanos;
    private long mNotBeforeNanos;

    DialledPeer(String vm, SendBudget budget, long minBackoffNanos, long maxBackoffNanos) {
        mVm = vm;
        mBudget = budget;
        mMinBackoffNanos = minBackoffNanos;
        mMaxBackoffNanos = maxBackoffNanos;
    }

    String vm() {
        return mVm;
    }

    SendBudget budget() {
        return mBudget;
    }

    @Nullable PeerLink link() {
        return mLink;
    }

    void use(PeerLink link) {
        mLink = link;
    }

    boolean mayDial(long nowNanos) {
        return mLink == null && (mBackoffNanos == 0 || nowNanos - mNotBeforeNanos >= 0);
    }

    void wait(OutFrame frame) {
        mWaiting.add(frame);
    }

    void open(OutFrame request) {
        mRequests.put(request.correlation(), request);
    }

    List<OutFrame> opened() {
        mBackoffNanos = 0;
        List<OutFrame> frames = new ArrayList<>(mWaiting);
        mWaiting.clear();
        return frames;
    }

    void answer(long correlation, PeerMessage message) {
        OutFrame request = mRequests.remove(correlation);
        if (request != null) {
            request.complete(message);
        }
    }

    /** Fails everything that depended on the link and delays the next attempt. */
    void lost(String detail, long nowNanos, SplittableRandom random) {
        mLink = null;
        long doubled = Math.max(mMinBackoffNanos, mBackoffNanos * 2);
        mBackoffNanos = Math.min(mMaxBackoffNanos, doubled);
        // Half of the delay is random, so that a fleet does not reconnect in step.
        mNotBeforeNanos = nowNanos + mBackoffNanos / 2 + random.nextLong(mBackoffNanos / 2 + 1);
        List<OutFrame> failed = new ArrayList<>(mRequests.values());
        failed.addAll(mWaiting);
        mRequests.clear();
        mWaiting.clear();
        failed.forEach(frame -> frame.fail(detail));
    }

    void failOverdue(long nowNanos) {
        List<OutFrame> overdue = new ArrayList<>();
        for (OutFrame request : mRequests.values()) {
            if (request.isOverdue(nowNanos)) {
                overdue.add(request);
            }
        }
        for (OutFrame request : overdue) {
            mRequests.remove(request.correlation());
            mWaiting.remove(request);
            PeerLink link = mLink;
            if (link != null) {
                link.withdraw(request);
            }
            request.fail("no answer in time");
        }
    }

    /** Returns true when nothing is left to remember about the peer. */
    boolean isForgettable(long nowNanos) {
        return mLink == null
                && mWaiting.isEmpty()
                && mRequests.isEmpty()
                && nowNanos - mNotBeforeNanos > mMaxBackoffNanos;
    }

    long nextDeadlineNanos(long latest) {
        long next = latest;
        for (OutFrame request : mRequests.values()) {
            next = request.deadlineNanos() - next < 0 ? request.deadlineNanos() : next;
        }
        return next;
    }
}
