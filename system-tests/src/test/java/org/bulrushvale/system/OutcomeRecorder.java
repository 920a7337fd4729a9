package org.bulrushvale.system;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.backend.AttemptListener;
import org.bulrushvale.adapters.backend.BackendFailure;

/**
 * Records how an attempt ends: with its output, as refused, or with the name of the failure.
 *
 * <p>Thread safety: called by one I/O thread at a time.
 */
final class OutcomeRecorder implements AttemptListener {
    private final CompletableFuture<String> mOutcome = new CompletableFuture<>();
    private final StringBuilder mText = new StringBuilder();

    /** Waits for the outcome. */
    String await() throws Exception {
        return mOutcome.get(10, TimeUnit.SECONDS);
    }

    @Override
    public void connecting() {}

    @Override
    public boolean beforeSend() {
        return true;
    }

    @Override
    public void text(long offset, String text) {
        mText.append(text);
    }

    @Override
    public void foreignResponse(String attemptId) {}

    @Override
    public void completed(String output, long tokens) {
        mOutcome.complete(output);
    }

    @Override
    public void streamEnded(long tokens) {
        mOutcome.complete(mText.toString());
    }

    @Override
    public void refused(int status) {
        mOutcome.complete("refused");
    }

    @Override
    public void failed(BackendFailure failure, String detail) {
        mOutcome.complete(failure.name());
    }
}
