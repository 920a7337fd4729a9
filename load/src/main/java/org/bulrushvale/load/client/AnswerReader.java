package org.bulrushvale.load.client;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;
import java.util.function.LongSupplier;

/**
 * Collects the lines of an answer and the time of the first token.
 *
 * <p>Invariant: {@link #lines()} is complete only after the body's end. Thread safety: filled by
 * one thread at a time; read after the body's end.
 */
final class AnswerReader implements Flow.Subscriber<String> {
    private final LongSupplier mNanos;
    private final List<String> mLines = new ArrayList<>();
    private final CompletableFuture<Long> mFirstToken = new CompletableFuture<>();

    AnswerReader(LongSupplier nanos) {
        mNanos = nanos;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (line.startsWith("data:")) {
            mFirstToken.complete(mNanos.getAsLong());
        }
        mLines.add(line);
    }

    @Override
    public void onError(Throwable error) {
        mFirstToken.complete(0L);
    }

    @Override
    public void onComplete() {
        mFirstToken.complete(0L);
    }

    List<String> lines() {
        return mLines;
    }

    /** Returns the time of the first event, 0 when there was none. */
    long firstTokenNanos() {
        return mFirstToken.getNow(0L);
    }
}
