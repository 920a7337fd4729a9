package org.bulrushvale.adapters.caller;

import org.bulrushvale.adapters.EntryContext;
import org.bulrushvale.kernel.plugin.Plugin;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.jspecify.annotations.Nullable;

/**
 * Plug-in that runs the caller listener.
 *
 * <p>Invariant: starts last, so that no caller is answered before all other plug-ins run. Thread
 * safety: used by the daemon's main thread.
 */
public final class CallerPlugin implements Plugin<EntryContext> {
    private static final int ORDER = 900;

    private @Nullable CallerServer mServer;

    @Override
    public String name() {
        return "caller";
    }

    @Override
    public int startOrder() {
        return ORDER;
    }

    @Override
    public void start(EntryContext context) throws BulrushvaleException {
        CallerServer server =
                CallerServer.start(
                        context.settings().caller(),
                        context.service(CallerRequestHandler.class),
                        context.metrics());
        mServer = server;
        context.listenerBound(name(), server.port());
    }

    @Override
    public void drain() {
        CallerServer server = mServer;
        if (server != null) {
            server.drain();
        }
    }

    @Override
    public void finish(Runnable onFinished) {
        CallerServer server = mServer;
        if (server == null) {
            onFinished.run();
        } else {
            server.finish(onFinished);
        }
    }

    @Override
    public void stop() {
        CallerServer server = mServer;
        if (server != null) {
            server.stop();
        }
    }
}
