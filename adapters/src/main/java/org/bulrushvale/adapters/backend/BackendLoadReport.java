package org.bulrushvale.adapters.backend;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.OptionalDouble;
import org.bulrushvale.decision.warmup.ReportedState;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Load that a backend server reports.
 *
 * <p>Invariant: the report was read on a connection that was opened after the last loss of a
 * connection to that server. Thread safety: immutable.
 *
 * @param server name that the server reports for itself
 * @param epoch id of the server process; changes when the process restarts
 * @param state whether the server reports itself as warm
 * @param slots number of concurrent requests that the server handles warm, 0 when not reported
 * @param coldConcurrency number of concurrent requests that it handles cold, 0 when not reported
 * @param running number of running requests
 * @param queued number of waiting requests
 * @param ageMillis age of these figures in milliseconds
 * @param requestsPerSecond rate that the server takes from all entries together; empty when it
 *     states no limit
 */
public record BackendLoadReport(
        String server,
        String epoch,
        ReportedState state,
        int slots,
        int coldConcurrency,
        int running,
        int queued,
        long ageMillis,
        OptionalDouble requestsPerSecond) {
    /** A higher age is read as this one; both are far too old to be used. */
    private static final Duration MAX_AGE = Duration.ofDays(1);

    static BackendLoadReport parse(JsonNode json) throws BulrushvaleException {
        if (!json.path("server").isTextual() || !json.hasNonNull("epoch")) {
            throw new BulrushvaleException(
                    ErrorCode.BACKEND_FAILED,
                    Verdict.NOT_RUN,
                    "load report has no server name or no epoch");
        }
        return new BackendLoadReport(
                json.path("server").asText(),
                json.path("epoch").asText(),
                parseState(json.path("state").asText()),
                json.path("slots").asInt(0),
                json.path("bearable").asInt(0),
                json.path("running").asInt(0),
                json.path("queued").asInt(0),
                parseAgeMillis(json.path("age_ms")),
                parseRate(json.path("requests_per_s")));
    }

    private static long parseAgeMillis(JsonNode age) {
        return Math.min(Math.max(0, age.asLong(0)), MAX_AGE.toMillis());
    }

    private static OptionalDouble parseRate(JsonNode rate) {
        return rate.isNumber() && rate.asDouble() >= 0
                ? OptionalDouble.of(rate.asDouble())
                : OptionalDouble.empty();
    }

    private static ReportedState parseState(String text) {
        return switch (text) {
            case "warm" -> ReportedState.WARM;
            case "cold" -> ReportedState.COLD;
            default -> ReportedState.UNKNOWN;
        };
    }
}
