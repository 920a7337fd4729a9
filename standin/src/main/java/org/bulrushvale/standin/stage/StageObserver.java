package org.bulrushvale.standin.stage;

/**
 * What a kind of server does beyond running a stage call.
 *
 * <p>Thread safety: called on the endpoint's thread.
 */
public interface StageObserver {
    /** A call got a slot; its work counts as done from here on, even if the server crashes. */
    default void started(StageCall call) {}

    /** Returns the number of tokens of the answer. */
    default int tokens(StageCall call, int byDefault) {
        return byDefault;
    }

    /** Returns false when a running call continues after its caller has gone. */
    default boolean isCancellable() {
        return true;
    }
}
