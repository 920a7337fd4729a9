package org.bulrushvale.decision.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for capacity.
 *
 * <p>Invariant: every offered request leaves exactly once: by {@link #poll}, as a refusal, or by
 * {@link #removeIf}. Thread safety: implementations are owned by the event loop.
 *
 * @param <T> payload type of the queued requests
 */
public interface RequestQueue<T> {
    /** Adds a request; returns the requests refused as a result, which may include this one. */
    List<RefusedRequest<T>> offer(QueuedRequest<T> request);

    /**
     * Removes and returns the request to serve next; empty when none can be served.
     *
     * @param refused receives the requests that are refused because they can no longer meet their
     *     deadline
     */
    Optional<QueuedRequest<T>> poll(Consumer<RefusedRequest<T>> refused);

    /** Removes the requests whose payload matches; returns true when there were any. */
    boolean removeIf(Predicate<T> cancelled);

    /** Returns the number of waiting requests. */
    int size();
}
