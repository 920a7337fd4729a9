package org.bulrushvale.adapters.forward;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.forward.PublishedItem;
import org.bulrushvale.decision.forward.PublishedItems;
import org.bulrushvale.decision.forward.ServerHistory.RegistrationChange;
import org.bulrushvale.decision.forward.StoreReading;
import org.bulrushvale.decision.forward.StoreRevision;

/**
 * Reads the items that operators and backend servers publish in the store, and decodes them; each
 * platform adapter implements it.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public interface PublishedStateWatcher extends AutoCloseable {
    /** Returns the names of the collections of items that make up the published state. */
    List<String> collections();

    /**
     * Prepares reading; nothing is read before {@link #read} is called.
     *
     * @param freshness time within which a published change must take effect
     */
    void start(
            InetSocketAddress store,
            UpstreamClient client,
            Duration freshness,
            ItemListener listener);

    /**
     * Sets how the store is read from now on. A call to the store that is in progress ends as
     * before.
     *
     * @param knownRevisions revision of each collection up to which all changes are known
     */
    void read(StoreReading reading, Map<String, StoreRevision> knownRevisions);

    /**
     * Decodes items of a collection and passes them to the listener. An item that cannot be decoded
     * adds no server and changes no configuration.
     *
     * @param complete true when these are all items of the collection
     */
    void decode(String collection, List<PublishedItem> items, boolean complete, Listener listener);

    /**
     * Reads how the registrations of servers changed since a time before the first read; nothing is
     * passed on when the store does not have the whole history.
     *
     * @param present the present items of all collections
     * @param onRead receives all changes since {@code time} or earlier, the oldest first
     */
    void readHistory(
            List<PublishedItem> present, Instant time, Consumer<List<RegistrationChange>> onRead);

    @Override
    void close();

    /**
     * Receives what was read from the store.
     *
     * <p>Thread safety: implementations may be called from any thread.
     */
    interface ItemListener {
        /**
         * Called after each successful call to the store for a collection; without items the call
         * confirms that nothing has changed.
         */
        void read(String collection, PublishedItems.Update update);

        /** Called after each call to the store. */
        void reachable(boolean reachable, String detail);
    }

    /**
     * Receives the published state.
     *
     * <p>Thread safety: implementations may be called from any thread.
     */
    interface Listener {
        /** Called with each version of the configuration. */
        void config(ForwardConfig config);

        /** Called with all servers after the first full read, and after a restore of the store. */
        void servers(List<PublishedBackend> servers);

        /** Called when one server was published or its published data changed. */
        void server(PublishedBackend server);

        /** Called when a server is no longer published or its data names no usable server. */
        void serverGone(String id);

        /**
         * Called with all failure domains that must receive no work, after the first full read and
         * after a restore of the store.
         */
        void evacuated(Set<String> domains);

        /** Called when one failure domain must receive no work, or may receive work again. */
        void evacuationChanged(String domain, boolean evacuated);
    }
}
