package org.bulrushvale.adapters.forward;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.PublishedBackend;

/**
 * Watches the state that operators and backend servers publish in the store; each platform adapter
 * implements it.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public interface PublishedStateWatcher extends AutoCloseable {
    /** Starts watching the store; the listener may be called from any thread. */
    void start(InetSocketAddress store, UpstreamClient client, Listener listener);

    @Override
    void close();

    /**
     * Receives the published state.
     *
     * <p>Thread safety: implementations may be called from any thread.
     */
    interface Listener {
        /** Called with each version of the configuration. */
        void config(ForwardConfig config);

        /** Called with all servers after a full read of the store. */
        void servers(List<PublishedBackend> servers);

        /** Called when one server was published or its published data changed. */
        void server(PublishedBackend server);

        /** Called when a server is no longer published or its data names no usable server. */
        void serverGone(String id);

        /** Called with the failure domains that must receive no work. */
        void evacuated(Set<String> domains);

        /** Called when the store becomes reachable or unreachable. */
        void reachable(boolean reachable, String detail);
    }
}
