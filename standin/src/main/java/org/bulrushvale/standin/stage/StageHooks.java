package org.bulrushvale.standin.stage;

/**
 * Hooks by which each kind of simulated server adapts how stage calls run.
 *
 * <p>Thread safety: called on the endpoint's thread.
 */
public interface StageHooks {
    /**
     * Called when a call gets a slot. From then on its work counts as done, even if the server
     * crashes.
     */
    default void onCallStarted(StageCall call) {}

    /** Returns the number of tokens of the answer. */
    default int tokenCount(StageCall call, int defaultTokens) {
        return defaultTokens;
    }

    /**
     * Returns false when a running call cannot be cancelled and continues after its caller has
     * disconnected.
     */
    default boolean isCancellable() {
        return true;
    }
}
