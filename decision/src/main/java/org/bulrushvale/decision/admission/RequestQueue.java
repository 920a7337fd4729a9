package org.bulrushvale.decision.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Requests that wait for capacity.
 *
 * <p>Invariant: every offered request leaves exactly once: by {@link #poll}, as a refusal, or by
 * {@link #removeIf}. Thread safety: implementations are owned by the event loop.
 *
 * @param <T> what the caller wants back
 */
public interface RequestQueue<T> {
    /** Adds a request; returns the requests that are refused because of it, perhaps itself. */
    List<RefusedRequest<T>> offer(QueuedRequest<T> request);

    /**
     * Returns the request to serve next.
     *
     * @param refused receives the requests that are found to be too late
     */
    Optional<QueuedRequest<T>> poll(Consumer<RefusedRequest<T>> refused);

    /** Removes cancelled requests; returns true when there were any. */
    boolean removeIf(Predicate<T> cancelled);

    /** Returns the number of waiting requests. */
    int size();
}
