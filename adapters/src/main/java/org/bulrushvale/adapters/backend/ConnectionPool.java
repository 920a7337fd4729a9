package org.bulrushvale.adapters.backend;

import io.undertow.client.ClientConnection;
import io.undertow.util.HttpString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Pool of persistent connections to one backend server.
 *
 * <p>Invariant: after an unexpected close of any connection, no connection opened before the close
 * is used again, so that later load reports come from a newer connection. The close of the only
 * open connection always counts as a loss, because a restart of the server would go unnoticed until
 * the next connection opens. Each connection carries one exchange at a time. Thread safety: all
 * methods may be called from any thread.
 */
final class ConnectionPool {
    private static final Logger LOG = Logger.getLogger(ConnectionPool.class);

    // Covers the slots of one server; more idle connections would only use memory.
    private static final int MAX_IDLE = 64;

    private final String mServer;
    private final Consumer<String> mOnConnectionLost;
    private final Deque<PooledConnection> mIdleConnections = new ArrayDeque<>();
    private long mGeneration;
    private int mOpenCount;

    ConnectionPool(String server, Consumer<String> onConnectionLost) {
        mServer = server;
        mOnConnectionLost = onConnectionLost;
    }

    /**
     * A connection and the pool generation in which it started to open.
     *
     * <p>Thread safety: {@code mCloseExpected} and {@code mVerifiedEpoch} are volatile, {@code
     * mRemoved} is guarded by the pool; the rest is immutable.
     */
    static final class PooledConnection {
        private final LimitedConnection mConnection;
        private final long mGeneration;
        private volatile boolean mCloseExpected;
        private volatile String mVerifiedEpoch = "";
        private boolean mRemoved;

        private PooledConnection(LimitedConnection connection, long generation) {
            mConnection = connection;
            mGeneration = generation;
        }

        ClientConnection connection() {
            return mConnection.http();
        }

        ResponseByteLimit limit() {
            return mConnection.limit();
        }

        ResponseSyntax syntax() {
            return mConnection.syntax();
        }

        /** Called before a request is sent. */
        void beginExchange(HttpString method) {
            mConnection.beginExchange(method);
        }

        /** Records the epoch that the server process reported on this connection. */
        void setVerifiedEpoch(String epoch) {
            mVerifiedEpoch = epoch;
        }
    }

    /** Returns the current generation, which increases with each lost connection. */
    synchronized long generation() {
        return mGeneration;
    }

    /** Returns true when no connection was lost since this one started to open. */
    synchronized boolean isCurrent(PooledConnection pooled) {
        return pooled.mGeneration == mGeneration;
    }

    /** Registers a connection that started to open in the given generation. */
    PooledConnection register(LimitedConnection connection, long generation) {
        PooledConnection pooled = new PooledConnection(connection, generation);
        synchronized (this) {
            mOpenCount++;
        }
        connection.http().addCloseListener(closed -> closed(pooled));
        return pooled;
    }

    /**
     * Takes an idle connection.
     *
     * @param epoch epoch that the server must have reported on the connection; empty for any
     */
    synchronized @Nullable PooledConnection takeIdle(String epoch) {
        Iterator<PooledConnection> latestFirst = mIdleConnections.descendingIterator();
        while (latestFirst.hasNext()) {
            PooledConnection pooled = latestFirst.next();
            if (!pooled.mConnection.isOpen()) {
                latestFirst.remove();
            } else if (epoch.isEmpty() || epoch.equals(pooled.mVerifiedEpoch)) {
                latestFirst.remove();
                return pooled;
            }
        }
        return null;
    }

    /** Returns a connection to the pool after a complete exchange. */
    void release(PooledConnection pooled) {
        synchronized (this) {
            boolean isCurrent = pooled.mGeneration == mGeneration;
            if (isCurrent && pooled.mConnection.isOpen() && mIdleConnections.size() < MAX_IDLE) {
                mIdleConnections.addLast(pooled);
                return;
            }
        }
        close(pooled);
    }

    /** Closes a connection on purpose; this counts as a loss only if no other one is open. */
    void close(PooledConnection pooled) {
        pooled.mCloseExpected = true;
        pooled.mConnection.close();
    }

    /** Closes a connection after a failure and counts it as lost; the server may have restarted. */
    void discard(PooledConnection pooled) {
        closed(pooled);
        close(pooled);
    }

    /** Closes all idle connections. */
    void closeIdle() {
        removeIdle().forEach(this::close);
    }

    private void closed(PooledConnection pooled) {
        boolean lost;
        synchronized (this) {
            if (!remove(pooled)) {
                return;
            }
            lost = !pooled.mCloseExpected || mOpenCount == 0;
            pooled.mCloseExpected = true;
            if (lost) {
                mGeneration++;
            }
        }
        if (lost) {
            LOG.debugf("connection to %s lost, older connections are not used again", mServer);
            closeIdle();
            mOnConnectionLost.accept(mServer);
        }
    }

    private synchronized List<PooledConnection> removeIdle() {
        List<PooledConnection> idle = new ArrayList<>(mIdleConnections);
        idle.forEach(this::remove);
        return idle;
    }

    /** Returns false if the connection was removed before; called with the lock held. */
    private boolean remove(PooledConnection pooled) {
        boolean first = !pooled.mRemoved;
        if (first) {
            pooled.mRemoved = true;
            mIdleConnections.remove(pooled);
            mOpenCount--;
        }
        return first;
    }
}
