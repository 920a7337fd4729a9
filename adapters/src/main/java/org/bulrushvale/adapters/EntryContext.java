package org.bulrushvale.adapters;

import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.EntrySettings;

/**
 * Services that the entry daemon provides to its plug-ins.
 *
 * <p>Thread safety: may be used from any thread.
 */
public interface EntryContext {
    /** Returns the validated settings. */
    EntrySettings settings();

    /** Returns the metrics registry. */
    EntryMetrics metrics();

    /** Returns the daemon's implementation of an interface that a plug-in calls. */
    <T> T service(Class<T> type);

    /** Reports to the daemon that a listener is bound to a TCP port. */
    void listenerBound(String listener, int port);
}
