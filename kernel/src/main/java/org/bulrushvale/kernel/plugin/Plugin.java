package org.bulrushvale.kernel.plugin;

import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * A part of a daemon that registers itself through {@link java.util.ServiceLoader}.
 *
 * <p>Invariant: {@link #start} is called once, then {@link #drain} at most once, then {@link #stop}
 * once. Thread safety: the three methods are called by one thread.
 *
 * @param <C> the context that the daemon hands to its plug-ins
 */
public interface Plugin<C> {
    /** Returns the unique name, used in logs and settings. */
    String name();

    /** Returns the start order; lower starts first and stops last. */
    int startOrder();

    /** Starts the plug-in. */
    void start(C context) throws BulrushvaleException;

    /** Stops taking new work; returns at once, work in progress goes on. */
    default void drain() {}

    /** Releases everything. */
    void stop();
}
