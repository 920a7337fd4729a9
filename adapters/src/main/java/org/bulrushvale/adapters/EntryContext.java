package org.bulrushvale.adapters;

import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.EntrySettings;

/**
 * What the entry daemon hands to its plug-ins.
 *
 * <p>Thread safety: may be used from any thread.
 */
public interface EntryContext {
    /** Returns the checked settings. */
    EntrySettings settings();

    /** Returns the metrics registry. */
    EntryMetrics metrics();

    /** Returns the daemon's implementation of a port interface. */
    <T> T service(Class<T> type);

    /** Tells the daemon on which TCP port a listener listens. */
    void listenerBound(String listener, int port);
}
