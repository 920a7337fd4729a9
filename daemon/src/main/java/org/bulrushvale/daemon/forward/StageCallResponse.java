package org.bulrushvale.daemon.forward;

import io.undertow.util.HeaderMap;
import java.util.List;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.forward.BackendResponseMetadata;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * The response to one stage call.
 *
 * <p>A response does not name its call. Only a handle that was never received before shows that it
 * is no late copy of an earlier response, so every other response closes its connection.
 *
 * <p>Invariant: results that were received for other pieces are not passed on. Thread safety:
 * called on the I/O thread; the handler is called on the event loop.
 */
final class StageCallResponse extends UpstreamClient.BufferedResponseListener {
    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final int OK = 200;

    private final ForwardServices mServices;
    private final ReceivedHandles mHandles;
    private final List<String> mPieces;
    private final Handler mHandler;
    private List<PieceResult> mResults = List.of();
    private String mFault = "";

    /**
     * Creates the listener of one call.
     *
     * @param handles handles that were received in earlier responses
     * @param pieces names of the pieces of the call
     */
    StageCallResponse(
            ForwardServices services,
            ReceivedHandles handles,
            List<String> pieces,
            Handler handler) {
        super(MAX_ANSWER_BYTES);
        mServices = services;
        mHandles = handles;
        mPieces = pieces;
        mHandler = handler;
    }

    /**
     * Receives the end of a stage call on the event loop.
     *
     * <p>Thread safety: called on the event loop.
     */
    interface Handler {
        /** Called with a response; {@code results} is empty unless the status is 200. */
        void onAnswer(int status, BackendResponseMetadata metadata, List<PieceResult> results);

        /** Called when there is no usable response. */
        void onFailed(String detail);
    }

    /** The time limit covers the whole response, which is small. */
    @Override
    public boolean extendsTimeLimit() {
        return false;
    }

    @Override
    protected boolean isIdentified(int status, byte[] body) {
        if (status != OK) {
            return false;
        }
        try {
            mResults = mServices.protocol().parsePieceResults(body, mPieces.size());
        } catch (BulrushvaleException e) {
            mFault = e.detail();
            return false;
        }
        boolean identified = false;
        for (int i = 0; i < mResults.size(); i++) {
            PieceResult result = mResults.get(i);
            if (result.outcome() != PieceResult.Outcome.MADE) {
                continue;
            }
            identified = true;
            if (!mHandles.record(result.handle(), mPieces.get(i))) {
                mFault = "stage response holds the result of another piece";
                return false;
            }
        }
        return identified;
    }

    @Override
    protected void complete(int status, HeaderMap headers, byte[] body) {
        BackendResponseMetadata metadata = mServices.protocol().parseResponse(headers);
        if (mFault.isEmpty()) {
            mServices.loop().execute(() -> mHandler.onAnswer(status, metadata, mResults));
        } else {
            mServices.loop().execute(() -> mHandler.onFailed(mFault));
        }
    }

    @Override
    public void failed(boolean sent, BackendFailure failure, String detail) {
        mServices.loop().execute(() -> mHandler.onFailed(detail));
    }
}
