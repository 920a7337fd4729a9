package org.bulrushvale.daemon;

import java.util.function.Consumer;
import org.bulrushvale.adapters.caller.CallerResponder;
import org.bulrushvale.adapters.caller.CallerResponse;
import org.bulrushvale.adapters.caller.Problem;
import org.bulrushvale.decision.request.RunDecision;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Sends the text and the end of a request to its caller.
 *
 * <p>Invariant: a stream that received no text receives the whole output as one text before its
 * end. Thread safety: owned by the event loop.
 */
final class CallerResponseListener implements ActiveRequest.Listener {
    private final CallerResponder mResponder;
    private final boolean mStream;
    private final Consumer<ActiveRequest> mOnEnd;
    private boolean mHasText;

    CallerResponseListener(
            CallerResponder responder, boolean stream, Consumer<ActiveRequest> onEnd) {
        mResponder = responder;
        mStream = stream;
        mOnEnd = onEnd;
    }

    @Override
    public void text(long offset, String text) {
        if (mStream) {
            mHasText = true;
            mResponder.text(offset, text);
        }
    }

    @Override
    public void delivered(ActiveRequest request, RunDecision.Deliver answer) {
        if (mStream && !mHasText) {
            mResponder.text(0, answer.output());
        }
        mResponder.complete(
                new CallerResponse(
                        request.id().toString(),
                        answer.output(),
                        answer.tokens(),
                        ActiveRequest.costs(answer.stages())));
        mOnEnd.accept(request);
    }

    @Override
    public void failed(ActiveRequest request, ErrorCode code, Verdict verdict, String detail) {
        BulrushvaleException error = new BulrushvaleException(code, verdict, detail);
        mResponder.fail(
                Problem.failure(
                        code, verdict, error.advice(request.workClass().idempotent()), detail));
        mOnEnd.accept(request);
    }
}
