package org.bulrushvale.decision.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.bulrushvale.kernel.verdict.ErrorCode;

/**
 * First-in, first-out queue of bounded length, the baseline that {@link AdmissionQueue} is compared
 * with.
 *
 * <p>Invariant: at most {@code capacity} requests wait. Thread safety: not safe; owned by the event
 * loop.
 *
 * @param <T> payload type of the queued requests
 */
public final class FifoQueue<T> implements RequestQueue<T> {
    private final Deque<QueuedRequest<T>> mQueue = new ArrayDeque<>();
    private final int mCapacity;

    /** Creates an empty queue. */
    public FifoQueue(int capacity) {
        mCapacity = capacity;
    }

    @Override
    public List<RefusedRequest<T>> offer(QueuedRequest<T> request) {
        if (mQueue.size() >= mCapacity) {
            return List.of(new RefusedRequest<>(request, ErrorCode.OVERLOADED));
        }
        mQueue.add(request);
        return List.of();
    }

    @Override
    public Optional<QueuedRequest<T>> poll(Consumer<RefusedRequest<T>> refused) {
        return Optional.ofNullable(mQueue.poll());
    }

    @Override
    public boolean removeIf(Predicate<T> cancelled) {
        return mQueue.removeIf(request -> cancelled.test(request.payload()));
    }

    @Override
    public int size() {
        return mQueue.size();
    }
}
