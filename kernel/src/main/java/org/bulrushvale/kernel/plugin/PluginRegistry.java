package org.bulrushvale.kernel.plugin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.jboss.logging.Logger;

/**
 * Starts plug-ins in their start order and stops them in reverse order.
 *
 * <p>Invariant: when one plug-in fails to start, those that have started are stopped. Thread
 * safety: not safe; used by the daemon's main thread only.
 *
 * @param <C> the context that the daemon hands to its plug-ins
 */
public final class PluginRegistry<C> {
    private static final Logger LOG = Logger.getLogger(PluginRegistry.class);

    private final List<Plugin<C>> mPlugins;
    private final Deque<Plugin<C>> mStarted = new ArrayDeque<>();

    private PluginRegistry(List<Plugin<C>> plugins) {
        mPlugins = plugins;
    }

    /** Returns a registry of the given plug-ins; fails when two of them have the same name. */
    public static <C> PluginRegistry<C> of(Iterable<? extends Plugin<C>> plugins) {
        List<Plugin<C>> sorted = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Plugin<C> plugin : plugins) {
            if (!names.add(plugin.name())) {
                throw new IllegalArgumentException("two plug-ins are named " + plugin.name());
            }
            sorted.add(plugin);
        }
        sorted.sort(Comparator.comparingInt(Plugin::startOrder));
        return new PluginRegistry<>(sorted);
    }

    /** Starts every plug-in. */
    public void start(C context) throws BulrushvaleException {
        for (Plugin<C> plugin : mPlugins) {
            try {
                plugin.start(context);
            } catch (BulrushvaleException | RuntimeException e) {
                LOG.errorf("plug-in %s failed to start", plugin.name());
                stop();
                throw e;
            }
            mStarted.push(plugin);
            LOG.debugf("plug-in %s started", plugin.name());
        }
    }

    /** Asks every started plug-in to take no new work. */
    public void drain() {
        mStarted.forEach(Plugin::drain);
    }

    /** Asks every started plug-in to finish; runs {@code onFinished} when all have. */
    public void finish(Runnable onFinished) {
        AtomicInteger unfinished = new AtomicInteger(1);
        Runnable onOneFinished =
                () -> {
                    if (unfinished.decrementAndGet() == 0) {
                        onFinished.run();
                    }
                };
        for (Plugin<C> plugin : mStarted) {
            unfinished.incrementAndGet();
            plugin.finish(onOneFinished);
        }
        onOneFinished.run();
    }

    /** Stops every started plug-in, the last started first. */
    public void stop() {
        while (!mStarted.isEmpty()) {
            Plugin<C> plugin = mStarted.pop();
            try {
                plugin.stop();
            } catch (RuntimeException e) {
                LOG.errorf(e, "plug-in %s failed to stop", plugin.name());
            }
        }
    }
}
