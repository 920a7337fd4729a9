package org.bulrushvale.daemon.forward;

import java.util.function.BooleanSupplier;
import org.bulrushvale.adapters.backend.BackendFailure;

/**
 * Forwards the events of an attempt while a condition holds and drops them otherwise.
 *
 * <p>Thread safety: used on the event loop.
 */
final class ConditionalAttemptHandler implements ForwardAttempt.Handler {
    private final ForwardAttempt.Handler mHandler;
    private final BooleanSupplier mCondition;

    ConditionalAttemptHandler(ForwardAttempt.Handler handler, BooleanSupplier condition) {
        mHandler = handler;
        mCondition = condition;
    }

    private void ifConditionHolds(Runnable event) {
        if (mCondition.getAsBoolean()) {
            event.run();
        }
    }

    @Override
    public void onAnswer(ForwardAttempt.Head head, byte[] body) {
        ifConditionHolds(() -> mHandler.onAnswer(head, body));
    }

    @Override
    public void onStreamBegin(ForwardAttempt.Head head) {
        ifConditionHolds(() -> mHandler.onStreamBegin(head));
    }

    @Override
    public void onStreamBytes(byte[] bytes) {
        ifConditionHolds(() -> mHandler.onStreamBytes(bytes));
    }

    @Override
    public void onStreamEnd() {
        ifConditionHolds(mHandler::onStreamEnd);
    }

    @Override
    public void onFailure(boolean sent, BackendFailure failure, String detail) {
        ifConditionHolds(() -> mHandler.onFailure(sent, failure, detail));
    }
}
