package org.bulrushvale.daemon.forward;

import java.util.function.BooleanSupplier;
import org.bulrushvale.adapters.backend.BackendFailure;

/**
 * Passes the events of an attempt on for as long as a condition holds.
 *
 * <p>Thread safety: used on the event loop.
 */
final class GuardedHandler implements Attempt.Handler {
    private final Attempt.Handler mHandler;
    private final BooleanSupplier mWanted;

    GuardedHandler(Attempt.Handler handler, BooleanSupplier wanted) {
        mHandler = handler;
        mWanted = wanted;
    }

    private void ifWanted(Runnable event) {
        if (mWanted.getAsBoolean()) {
            event.run();
        }
    }

    @Override
    public void answered(Attempt.Head head, byte[] body) {
        ifWanted(() -> mHandler.answered(head, body));
    }

    @Override
    public void streamBegins(Attempt.Head head) {
        ifWanted(() -> mHandler.streamBegins(head));
    }

    @Override
    public void streamBytes(byte[] bytes) {
        ifWanted(() -> mHandler.streamBytes(bytes));
    }

    @Override
    public void streamEnds() {
        ifWanted(mHandler::streamEnds);
    }

    @Override
    public void lost(boolean sent, BackendFailure failure, String detail) {
        ifWanted(() -> mHandler.lost(sent, failure, detail));
    }
}
