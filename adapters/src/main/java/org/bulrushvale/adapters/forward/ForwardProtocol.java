package org.bulrushvale.adapters.forward;

import io.undertow.util.HeaderMap;
import java.util.List;
import java.util.Optional;
import org.bulrushvale.adapters.backend.BackendAddress;
import org.bulrushvale.decision.forward.ServerLoad;
import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * Encodes and decodes the headers and bodies that callers, the entry and backend servers exchange;
 * each platform adapter implements it.
 *
 * <p>Invariant: implementations only translate; they make no decisions and are stateless. Thread
 * safety: safe for use by any thread.
 */
public interface ForwardProtocol {
    /** Decodes the metadata in the headers of a caller's request. */
    CallerRequestMetadata parseCallerRequest(HeaderMap headers) throws BulrushvaleException;

    /** Returns true for a request header that must not be forwarded as the caller sent it. */
    boolean isReserved(String header);

    /** Adds the headers that carry the entry's metadata to a backend server. */
    void addBackendHeaders(BackendRequestMetadata metadata, HeaderMap headers);

    /** Decodes the metadata in the headers of a backend server's response. */
    BackendResponseMetadata parseResponse(HeaderMap headers);

    /** Adds the request id to the headers of a response that the entry itself generates. */
    void addRequestId(String requestId, HeaderMap headers);

    /** Encodes the call that asks a stage server to compute pieces. */
    StageRequest piecesRequest(List<PieceOrder> pieces);

    /** Adds the header that names the server process that must answer a stage call. */
    void addExpectedServer(String server, HeaderMap headers);

    /** Decodes the response to a stage call into one result for each piece, in order. */
    List<PieceResult> parsePieceResults(byte[] body, int pieces) throws BulrushvaleException;

    /** Returns the address of the server that stores the result with this handle. */
    BackendAddress serverOf(String handle) throws BulrushvaleException;

    /** Encodes the call that releases results on the server that stores them. */
    StageRequest releaseRequest(List<String> handles);

    /** Returns the path at which a server reports its load. */
    String loadReportPath();

    /** Decodes the report of a server on its load; empty when it holds no usable figures. */
    Optional<ServerLoad> parseLoadReport(byte[] body);

    /**
     * Path and body of a call to a stage server.
     *
     * <p>Invariant: the body is not changed. Thread safety: immutable.
     */
    record StageRequest(String path, byte[] body) {}
}
