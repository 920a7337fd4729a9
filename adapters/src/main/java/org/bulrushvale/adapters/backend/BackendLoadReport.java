package org.bulrushvale.adapters.backend;

import com.fasterxml.jackson.databind.JsonNode;
import org.bulrushvale.decision.warmup.ReportedState;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Load report of a backend server.
 *
 * <p>Invariant: it was read on a connection opened after the last close of any connection to that
 * server. Thread safety: immutable.
 *
 * @param server name that the server states
 * @param epoch changes when the server process restarts
 * @param state whether the server states that it is warm
 * @param slots concurrent requests when warm, 0 when not stated
 * @param bearable concurrent requests when cold, 0 when not stated
 * @param running requests that run
 * @param queued requests that wait
 * @param ageMillis age of the figures
 */
public record BackendLoadReport(
        String server,
        String epoch,
        ReportedState state,
        int slots,
        int bearable,
        int running,
        int queued,
        long ageMillis) {
    static BackendLoadReport parse(JsonNode json) throws BulrushvaleException {
        if (!json.path("server").isTextual() || !json.hasNonNull("epoch")) {
            throw new BulrushvaleException(
                    ErrorCode.BACKEND_FAILED,
                    Verdict.NOT_RUN,
                    "load report without server or epoch");
        }
        return new BackendLoadReport(
                json.path("server").asText(),
                json.path("epoch").asText(),
                state(json.path("state").asText()),
                json.path("slots").asInt(0),
                json.path("bearable").asInt(0),
                json.path("running").asInt(0),
                json.path("queued").asInt(0),
                json.path("age_ms").asLong(0));
    }

    private static ReportedState state(String text) {
        return switch (text) {
            case "warm" -> ReportedState.WARM;
            case "cold" -> ReportedState.COLD;
            default -> ReportedState.UNKNOWN;
        };
    }
}
