package org.bulrushvale.load.client;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;
import java.util.function.LongSupplier;

/**
 * Collects the lines of an answer and records the time of the first event with data.
 *
 * <p>Invariant: {@link #lines()} is complete only after the end of the body. Thread safety: filled
 * by one thread at a time; read after the end of the body.
 */
final class AnswerReader implements Flow.Subscriber<String> {
    private final LongSupplier mMonotonicNanos;
    private final List<String> mLines = new ArrayList<>();
    private final CompletableFuture<Long> mFirstTokenNanos = new CompletableFuture<>();

    AnswerReader(LongSupplier monotonicNanos) {
        mMonotonicNanos = monotonicNanos;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (line.startsWith("data:")) {
            mFirstTokenNanos.complete(mMonotonicNanos.getAsLong());
        }
        mLines.add(line);
    }

    @Override
    public void onError(Throwable error) {
        mFirstTokenNanos.complete(0L);
    }

    @Override
    public void onComplete() {
        mFirstTokenNanos.complete(0L);
    }

    List<String> lines() {
        return mLines;
    }

    /** Returns the monotonic time of the first event with data, 0 if there was none. */
    long firstTokenNanos() {
        return mFirstTokenNanos.getNow(0L);
    }
}
