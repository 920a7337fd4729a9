package org.bulrushvale.adapters.operator;

import org.bulrushvale.adapters.EntryContext;
import org.bulrushvale.kernel.plugin.Plugin;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.jspecify.annotations.Nullable;

/**
 * Plug-in that runs the operator listener.
 *
 * <p>Invariant: keeps answering during a graceful shutdown. Thread safety: used by the daemon's
 * main thread.
 */
public final class OperatorPlugin implements Plugin<EntryContext> {
    private static final int ORDER = 100;

    private @Nullable OperatorServer mServer;

    @Override
    public String name() {
        return "operator";
    }

    @Override
    public int startOrder() {
        return ORDER;
    }

    @Override
    public void start(EntryContext context) throws BulrushvaleException {
        OperatorServer server =
                OperatorServer.start(
                        context.settings().operator(),
                        context.service(OperatorRequestHandler.class));
        mServer = server;
        context.listenerBound(name(), server.port());
    }

    @Override
    public void stop() {
        OperatorServer server = mServer;
        if (server != null) {
            server.stop();
        }
    }
}
