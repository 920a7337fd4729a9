package org.bulrushvale.daemon;

import java.util.List;
import java.util.Map;
import org.bulrushvale.decision.request.StageSummary;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Writes one structured log record per finished request.
 *
 * <p>Invariant: no record contains a token, a key, an input or an output. Thread safety: called by
 * the event loop.
 */
final class RequestLog {
    private static final Logger LOG = Logger.getLogger("org.bulrushvale.request");

    private RequestLog() {}

    static void delivered(ActiveRequest request, List<StageSummary> stages) {
        StageSummary last = stages.get(stages.size() - 1);
        Map<String, String> fields = fields(request, last.stage(), Verdict.RAN);
        write(fields, Integer.toString(last.attempts()), Logger.Level.INFO, "request delivered");
    }

    static void failed(
            ActiveRequest request, String stage, ErrorCode code, Verdict verdict, String detail) {
        write(fields(request, stage, verdict), "", Logger.Level.WARN, code + ": " + detail);
    }

    private static Map<String, String> fields(
            ActiveRequest request, String stage, Verdict verdict) {
        return Map.of(
                "request", request.id().toString(),
                "workspace", request.request().workspace(),
                "class", request.workClass().name(),
                "stage", stage,
                "verdict", verdict.name(),
                "elapsed_ms", Long.toString(request.elapsed().toMillis()));
    }

    private static void write(
            Map<String, String> fields, String attempt, Logger.Level level, String message) {
        fields.forEach(MDC::put);
        if (!attempt.isEmpty()) {
            MDC.put("attempt", attempt);
        }
        try {
            LOG.log(level, message);
        } finally {
            fields.keySet().forEach(MDC::remove);
            MDC.remove("attempt");
        }
    }
}
