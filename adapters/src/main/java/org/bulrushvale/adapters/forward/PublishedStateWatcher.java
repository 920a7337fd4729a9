package org.bulrushvale.adapters.forward;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.PublishedBackend;

/**
 * Follows what the operators and backend servers publish; implemented by the adapter of a platform.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public interface PublishedStateWatcher extends AutoCloseable {
    /** Starts following; the listener is called from any thread. */
    void start(InetSocketAddress store, UpstreamClient calls, Listener listener);

    @Override
    void close();

    /**
     * Receives what is published.
     *
     * <p>Thread safety: implementations may be called from any thread.
     */
    interface Listener {
        /** Called with each version of the configuration. */
        void config(ForwardConfig config);

        /** Called with all servers after a full read. */
        void servers(List<PublishedBackend> servers);

        /** Called when one server was published or changed. */
        void server(PublishedBackend server);

        /** Called when the entry of a server was removed or names no usable server any more. */
        void serverGone(String id);

        /** Called with the failure domains that must receive no work. */
        void evacuated(Set<String> domains);

        /** Called when the store is reached again or not any more. */
        void reachable(boolean reachable, String detail);
    }
}
