package org.bulrushvale.adapters.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/**
 * Collects a response body and fails when it exceeds a limit.
 *
 * <p>Thread safety: called by one thread at a time, as the HTTP client guarantees.
 */
final class BoundedBody implements BodySubscriber<byte[]> {
    private final int mMaxBytes;
    private final CompletableFuture<byte[]> mBody = new CompletableFuture<>();
    private final ByteArrayOutputStream mReceivedBytes = new ByteArrayOutputStream();
    private Flow.@Nullable Subscription mSubscription;

    BoundedBody(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return mBody;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        mSubscription = subscription;
        subscription.request(1);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (mReceivedBytes.size() + buffer.remaining() > mMaxBytes) {
                mBody.completeExceptionally(
                        new IOException("response body is larger than " + mMaxBytes + " bytes"));
                if (mSubscription != null) {
                    mSubscription.cancel();
                }
                return;
            }
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            mReceivedBytes.write(bytes, 0, bytes.length);
        }
        if (mSubscription != null) {
            mSubscription.request(1);
        }
    }

    @Override
    public void onError(Throwable throwable) {
        mBody.completeExceptionally(throwable);
    }

    @Override
    public void onComplete() {
        mBody.complete(mReceivedBytes.toByteArray());
    }
}
