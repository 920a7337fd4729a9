package org.bulrushvale.adapters.caller;

import java.time.Duration;

/**
 * Operations of the daemon that the caller listener calls.
 *
 * <p>Thread safety: all methods may be called from any thread and do not block.
 */
public interface CallerRequestHandler {
    /** Accepts a request; each request is answered exactly once through its {@code responder}. */
    Call submit(CallerRequest request, CallerResponder responder);

    /** Issues an idempotency key for a class of work in a workspace. */
    void issueKey(String workspace, String workClass, String tokenSha256, KeyResponder responder);

    /** Returns why the daemon is not ready, or an empty text when it is ready. */
    String notReadyReason();

    /**
     * A request in progress.
     *
     * <p>Thread safety: may be used from any thread.
     */
    @FunctionalInterface
    interface Call {
        /** Cancels the request because its caller has closed the connection. */
        void cancel();
    }

    /**
     * Receives the result of a request for an idempotency key.
     *
     * <p>Thread safety: may be called from any thread.
     */
    interface KeyResponder {
        /** Sends the issued key to the caller. */
        void issued(String key, Duration expiresIn);

        /** Sends an error to the caller instead of a key. */
        void fail(Problem problem);
    }
}
