package org.bulrushvale.load.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.RetryAdvice;
import org.bulrushvale.kernel.verdict.Verdict;
import org.bulrushvale.load.client.RequestOutcome.Kind;

/**
 * Checks answers against the caller protocol.
 *
 * <p>Invariant: an event stream without {@code end} or {@code error} is never complete; an answer
 * that follows the protocol is never invalid. Thread safety: safe for use by any thread.
 */
final class AnswerCheck {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> VERDICTS = constantNames(Verdict.values());
    private static final Set<String> ERROR_CODES = constantNames(ErrorCode.values());
    private static final Set<String> ADVICE = constantNames(RetryAdvice.values());

    private final boolean mOutputContainsRequestId;

    /**
     * Creates a check.
     *
     * @param outputContainsRequestId true: outputs must contain the request id, as the outputs of
     *     the stand-in backend servers do
     */
    AnswerCheck(boolean outputContainsRequestId) {
        mOutputContainsRequestId = outputContainsRequestId;
    }

    private static Set<String> constantNames(Enum<?>[] constants) {
        return Set.copyOf(Arrays.stream(constants).map(Enum::name).toList());
    }

    /** Classifies an answer by its status and the lines of its body. */
    RequestOutcome check(int status, boolean eventStream, List<String> lines) {
        try {
            if (status != 200) {
                return checkProblem(MAPPER.readTree(String.join("\n", lines)));
            }
            return eventStream ? checkStream(lines) : checkWholeBody(String.join("\n", lines));
        } catch (JsonProcessingException e) {
            return RequestOutcome.failed(Kind.INVALID, "body is not JSON, status " + status);
        }
    }

    private static RequestOutcome checkProblem(JsonNode body) {
        String verdict = body.path("verdict").asText();
        String code = body.path("code").asText();
        boolean valid =
                VERDICTS.contains(verdict)
                        && ERROR_CODES.contains(code)
                        && ADVICE.contains(body.path("advice").asText())
                        && body.path("status").isInt()
                        && body.path("title").isTextual();
        return valid
                ? RequestOutcome.refused(verdict, code)
                : RequestOutcome.failed(Kind.INVALID, "problem body lacks a field");
    }

    private RequestOutcome checkWholeBody(String text) throws JsonProcessingException {
        JsonNode body = MAPPER.readTree(text);
        return checkComplete(body, body.path("output").asText(""), body.path("output").isTextual());
    }

    private RequestOutcome checkComplete(JsonNode body, String output, boolean hasOutput) {
        String requestId = body.path("request_id").asText();
        if (!body.path("verdict").asText().equals(Verdict.RAN.name())) {
            return RequestOutcome.failed(Kind.INVALID, "complete answer without verdict RAN");
        }
        if (requestId.isEmpty() || !body.path("tokens").isIntegralNumber() || !hasOutput) {
            return RequestOutcome.failed(Kind.INVALID, "complete answer lacks a field");
        }
        if (mOutputContainsRequestId && !output.contains(requestId)) {
            return RequestOutcome.failed(Kind.INVALID, "output of another request");
        }
        return RequestOutcome.complete(Verdict.RAN.name(), requestId, body.path("tokens").asLong());
    }

    private RequestOutcome checkStream(List<String> lines) throws JsonProcessingException {
        StringBuilder output = new StringBuilder();
        String event = "";
        long tokens = 0;
        for (String line : lines) {
            if (line.startsWith("event:")) {
                event = line.substring("event:".length()).trim();
            } else if (line.startsWith("data:")) {
                JsonNode data = MAPPER.readTree(line.substring("data:".length()));
                if (event.equals("end")) {
                    return data.path("tokens").asLong(-1) == tokens
                            ? checkComplete(data, output.toString(), true)
                            : RequestOutcome.failed(
                                    Kind.INVALID, "end counts other tokens than sent");
                }
                if (event.equals("error")) {
                    return checkProblem(data);
                }
                if (data.path("offset").asLong(-1) != tokens) {
                    return RequestOutcome.failed(
                            Kind.INVALID, "token offsets have a gap or repeat");
                }
                tokens++;
                output.append(data.path("text").asText());
            } else if (line.isEmpty()) {
                event = "";
            }
        }
        return RequestOutcome.failed(Kind.CUT, "stream without end");
    }
}
