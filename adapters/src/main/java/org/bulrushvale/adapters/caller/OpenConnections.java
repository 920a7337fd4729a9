package org.bulrushvale.adapters.caller;

import java.util.Collections;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * The open connections of a listener.
 *
 * <p>Invariants: every open connection is contained; after {@link #closeAll} none is opened. Thread
 * safety: safe for use by any thread; connections are opened and closed on one I/O thread.
 */
public final class OpenConnections {
    private static final int MIN_PRUNE_SIZE = 64;

    private final Set<StreamConnection> mConnections =
            Collections.newSetFromMap(new ConcurrentHashMap<>());
    private volatile boolean mClosed;
    private volatile int mPruneSize = MIN_PRUNE_SIZE;

    /** Returns an open listener that remembers each connection before it passes it on. */
    public ChannelListener<StreamConnection> tracking(ChannelListener<StreamConnection> next) {
        return connection -> {
            if (mClosed) {
                // It was accepted before the listener was closed.
                IoUtils.safeClose(connection);
                return;
            }
            prune();
            mConnections.add(connection);
            next.handleEvent(connection);
        };
    }

    /** Closes all connections and returns how many were open; called on the I/O thread. */
    public int closeAll() {
        mClosed = true;
        int open = 0;
        for (StreamConnection connection : mConnections) {
            if (connection.isOpen()) {
                open++;
                IoUtils.safeClose(connection);
            }
        }
        mConnections.clear();
        return open;
    }

    // Undertow occupies the close listener of a connection, so closed ones are removed from time to
    // time.
    private void prune() {
        if (mConnections.size() >= mPruneSize) {
            mConnections.removeIf(connection -> !connection.isOpen());
            mPruneSize = Math.max(MIN_PRUNE_SIZE, 2 * mConnections.size());
        }
    }
}
