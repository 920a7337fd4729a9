package org.bulrushvale.adapters.backend;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Persistent connections to one backend server.
 *
 * <p>Invariant: once any connection closes that this side did not mean to close, no connection
 * opened before that moment is used again, so that later load reports come from a newer connection.
 * The close of the only connection counts as a loss, because a restart of the server would go
 * unnoticed until the next one opens. Each connection carries one exchange at a time. Thread
 * safety: all methods may be called from any thread.
 */
final class ConnectionPool {
    // Enough for the slots of one server; more idle connections only cost memory.
    private static final int MAX_IDLE = 64;

    private final String mServer;
    private final Consumer<String> mOnLoss;
    private final Deque<Lease> mIdle = new ArrayDeque<>();
    private long mGeneration;
    private int mOpen;

    ConnectionPool(String server, Consumer<String> onLoss) {
        mServer = server;
        mOnLoss = onLoss;
    }

    /**
     * A connection together with the generation in which it was opened.
     *
     * <p>Thread safety: {@code mDeliberate} and {@code mEpoch} are volatile, {@code mClosed} is
     * guarded by the pool; the rest is immutable.
     */
    static final class Lease {
        private final ClientConnection mConnection;
        private final long mGeneration;
        private volatile boolean mDeliberate;
        private volatile String mEpoch = "";
        private boolean mClosed;

        private Lease(ClientConnection connection, long generation) {
            mConnection = connection;
            mGeneration = generation;
        }

        ClientConnection connection() {
            return mConnection;
        }

        /** Records that the process at the other end stated this epoch on this connection. */
        void verified(String epoch) {
            mEpoch = epoch;
        }
    }

    synchronized long generation() {
        return mGeneration;
    }

    /** Returns true when no connection was lost since the opening of this one began. */
    synchronized boolean isCurrent(Lease lease) {
        return lease.mGeneration == mGeneration;
    }

    /** Registers a connection whose opening began in the given generation. */
    Lease adopt(ClientConnection connection, long generation) {
        Lease lease = new Lease(connection, generation);
        synchronized (this) {
            mOpen++;
        }
        connection.addCloseListener(closed -> closed(lease));
        return lease;
    }

    /**
     * Takes an idle connection.
     *
     * @param epoch epoch that the server must have stated on the connection; empty for any
     */
    synchronized @Nullable Lease takeIdle(String epoch) {
        Iterator<Lease> latestFirst = mIdle.descendingIterator();
        while (latestFirst.hasNext()) {
            Lease lease = latestFirst.next();
            if (!lease.mConnection.isOpen()) {
                latestFirst.remove();
            } else if (epoch.isEmpty() || epoch.equals(lease.mEpoch)) {
                latestFirst.remove();
                return lease;
            }
        }
        return null;
    }

    /** Returns a connection after a complete exchange. */
    void release(Lease lease) {
        synchronized (this) {
            boolean current = lease.mGeneration == mGeneration;
            if (current && lease.mConnection.isOpen() && mIdle.size() < MAX_IDLE) {
                mIdle.addLast(lease);
                return;
            }
        }
        close(lease);
    }

    /** Closes a connection without treating the close as a sign of trouble at the server. */
    void close(Lease lease) {
        lease.mDeliberate = true;
        IoUtils.safeClose(lease.mConnection);
    }

    /** Closes a connection that went wrong; the server may have restarted. */
    void discard(Lease lease) {
        closed(lease);
        close(lease);
    }

    void closeAll() {
        takeAll().forEach(this::close);
    }

    private void closed(Lease lease) {
        boolean lost;
        synchronized (this) {
            if (!forget(lease)) {
                return;
            }
            lost = !lease.mDeliberate || mOpen == 0;
            lease.mDeliberate = true;
            if (lost) {
                mGeneration++;
            }
        }
        if (lost) {
            closeAll();
            mOnLoss.accept(mServer);
        }
    }

    private synchronized List<Lease> takeAll() {
        List<Lease> leases = new ArrayList<>(mIdle);
        leases.forEach(this::forget);
        return leases;
    }

    /** Returns true the first time; called with the lock held. */
    private boolean forget(Lease lease) {
        boolean first = !lease.mClosed;
        if (first) {
            lease.mClosed = true;
            mIdle.remove(lease);
            mOpen--;
        }
        return first;
    }
}
