package org.bulrushvale.adapters.forward;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Fakes of the store and of backend servers on loopback, for the self-test of an entry; each
 * platform adapter implements it.
 *
 * <p>Thread safety: the methods are called by one thread; the fakes answer on their own.
 */
public interface SelfTestPlatform extends AutoCloseable {
    /** Starts the fakes and returns the address of the store. */
    InetSocketAddress start() throws IOException;

    /** Publishes the configuration and the state of a server again, with one change in each. */
    void publishChange();

    /**
     * Returns the requests that entries must answer with status 200: safe, unsafe and streamed
     * ones, with and without stages.
     */
    List<UpstreamClient.Request> requests(InetSocketAddress callers);

    @Override
    void close();
}
