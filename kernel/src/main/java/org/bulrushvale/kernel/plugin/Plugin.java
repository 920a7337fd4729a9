package org.bulrushvale.kernel.plugin;

import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * A part of a daemon that is found through {@link java.util.ServiceLoader}.
 *
 * <p>Invariant: {@link #start} is called once, then {@link #drain} and {@link #finish} at most once
 * each, then {@link #stop} once. Thread safety: the methods are called one at a time.
 *
 * @param <C> the context that the daemon hands to its plug-ins
 */
public interface Plugin<C> {
    /** Returns the unique name, used in logs and settings. */
    String name();

    /** Returns the position in the start order; the plug-in with the lowest starts first. */
    int startOrder();

    /** Starts the plug-in. */
    void start(C context) throws BulrushvaleException;

    /** Stops taking new work; returns at once and leaves work in progress running. */
    default void drain() {}

    /**
     * Ends the work in progress in order; returns at once and runs {@code onFinished} when none is
     * left.
     */
    default void finish(Runnable onFinished) {
        onFinished.run();
    }

    /** Stops the plug-in and releases its resources. */
    void stop();
}
