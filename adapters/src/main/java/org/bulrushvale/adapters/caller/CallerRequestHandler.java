package org.bulrushvale.adapters.caller;

import java.time.Duration;

/**
 * What the caller listener needs from the daemon.
 *
 * <p>Thread safety: all methods may be called from any thread and do not block.
 */
public interface CallerRequestHandler {
    /** Takes a request; every request gets exactly one answer through its reply. */
    Call submit(CallerRequest request, CallerResponder reply);

    /** Issues an idempotency key for a class of a workspace. */
    void issueKey(String workspace, String workClass, String tokenSha256, KeyResponder reply);

    /** Returns an empty text when ready, otherwise the reason why not. */
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
     * Where an issued key goes.
     *
     * <p>Thread safety: may be called from any thread.
     */
    interface KeyResponder {
        /** Passes on the key. */
        void issued(String key, Duration expiresIn);

        /** Refuses the key. */
        void fail(Problem problem);
    }
}
