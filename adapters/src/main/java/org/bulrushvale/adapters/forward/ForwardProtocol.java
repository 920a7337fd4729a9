package org.bulrushvale.adapters.forward;

import io.undertow.util.HeaderMap;
import java.util.List;
import org.bulrushvale.adapters.backend.BackendAddress;
import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * Names and formats between callers, the entry and backend servers; implemented by the adapter of a
 * platform.
 *
 * <p>Invariant: implementations decide nothing and keep no state. Thread safety: safe for use by
 * any thread.
 */
public interface ForwardProtocol {
    /** Decodes what a caller states. */
    CallerRequestMetadata parseCallerRequest(HeaderMap headers) throws BulrushvaleException;

    /** Returns true for a request header that must not be passed on as the caller sent it. */
    boolean isReserved(String header);

    /** Adds what the entry states towards a backend server. */
    void addBackendHeaders(BackendRequestMetadata facts, HeaderMap headers);

    /** Decodes the head of an answer. */
    BackendResponseMetadata parseResponse(HeaderMap headers);

    /** Adds the id of a request to an answer of the entry's own. */
    void addRequestId(String requestId, HeaderMap headers);

    /** Returns the call that makes pieces. */
    StageRequest piecesRequest(List<PieceOrder> pieces);

    /** Adds what a stage call states about the process that must answer. */
    void addExpectedServer(String server, HeaderMap headers);

    /** Decodes the answer of a stage call, one result for each piece in order. */
    List<PieceResult> parsePieceResults(byte[] body, int pieces) throws BulrushvaleException;

    /** Returns the address of the server at which a result lies. */
    BackendAddress serverOf(String handle) throws BulrushvaleException;

    /** Returns the call that gives up results at their maker. */
    StageRequest releaseRequest(List<String> handles);

    /**
     * Path and body of a call to a stage server.
     *
     * <p>Invariant: the body is not changed. Thread safety: immutable.
     */
    record StageRequest(String path, byte[] body) {}
}
