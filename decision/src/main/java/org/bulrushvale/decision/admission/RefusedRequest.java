package org.bulrushvale.decision.admission;

import org.bulrushvale.kernel.verdict.ErrorCode;

/**
 * A request that the queue refused; it never ran, so its verdict is {@code NOT_RUN}.
 *
 * <p>Thread safety: immutable when {@code T} is.
 *
 * @param <T> payload type of the queue
 * @param request the refused request
 * @param code error code that states the reason
 */
public record RefusedRequest<T>(QueuedRequest<T> request, ErrorCode code) {}
