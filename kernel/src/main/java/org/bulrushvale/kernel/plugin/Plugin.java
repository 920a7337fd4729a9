package org.bulrushvale.kernel.plugin;

import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * A part of a daemon that is found through {@link java.util.ServiceLoader}.
 *
 * <p>Invariant: {@link #start} is called once, then {@link #drain} at most once, then {@link #stop}
 * once. Thread safety: the three methods are called by one thread.
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

    /** Stops the plug-in and releases its resources. */
    void stop();
}
