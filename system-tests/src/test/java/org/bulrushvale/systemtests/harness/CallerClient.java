package org.bulrushvale.systemtests.harness;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.bulrushvale.systemtests.harness.RequestResult.Kind;

/**
 * Sends single requests of one workspace to entries and classifies the results.
 *
 * <p>Invariant: a request is sent once; every call returns exactly one result. Thread safety: safe
 * for use by any thread.
 */
public final class CallerClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String WORKSPACE = "city-halls";
    private static final String TOKEN = "city-halls-token";
    // Longer than the longest class deadline, so that the refusal of a late request still arrives.
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(12);

    private final HttpClient mHttpClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    /**
     * One request.
     *
     * <p>Thread safety: immutable.
     *
     * @param workClass class of work
     * @param input content
     * @param key idempotency key, empty for none
     * @param stream true to ask for an event stream
     */
    public record TestRequest(String workClass, String input, String key, boolean stream) {
        /** Returns a request without a key whose answer is not streamed. */
        public static TestRequest of(String workClass, String input) {
            return new TestRequest(workClass, input, "", false);
        }

        /** Returns a request with a key whose answer is not streamed. */
        public static TestRequest keyed(String workClass, String input, String key) {
            return new TestRequest(workClass, input, key, false);
        }

        /** Returns the same request with a streamed answer. */
        public TestRequest streamed() {
            return new TestRequest(workClass, input, key, true);
        }
    }

    /** Requests an idempotency key; the body of the result holds it. */
    public RequestResult requestKey(URI entry, String workClass) {
        ObjectNode body =
                JSON.createObjectNode().put("workspace", WORKSPACE).put("class", workClass);
        try {
            HttpResponse<String> response =
                    mHttpClient.send(
                            postRequest(entry.resolve("/v1/keys"), body).build(),
                            BodyHandlers.ofString());
            JsonNode json = JSON.readTree(response.body());
            boolean issued = response.statusCode() == 200 && json.path("key").isTextual();
            return issued
                    ? new RequestResult(Kind.WHOLE, 200, json, "", "")
                    : resultOfProblem(response.statusCode(), json);
        } catch (IOException e) {
            return resultOfFailure(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return RequestResult.withoutResponse(Kind.CUT, "interrupted");
        }
    }

    /** Requests an idempotency key and returns it; fails when there is none. */
    public String obtainKey(URI entry, String workClass) {
        RequestResult result = requestKey(entry, workClass);
        if (!result.isWhole()) {
            throw new AssertionError("no key from " + entry + ": " + result);
        }
        return result.body().path("key").asText();
    }

    /** Sends a request and waits for its result. */
    public RequestResult send(URI entry, TestRequest request) {
        ObjectNode body =
                JSON.createObjectNode()
                        .put("workspace", WORKSPACE)
                        .put("class", request.workClass())
                        .put("input", request.input())
                        .put("max_tokens", 16);
        HttpRequest.Builder httpRequest = postRequest(entry.resolve("/v1/requests"), body);
        if (!request.key().isEmpty()) {
            httpRequest.header("Idempotency-Key", request.key());
        }
        if (request.stream()) {
            httpRequest.header("Accept", "text/event-stream");
        }
        try {
            HttpResponse<String> response =
                    mHttpClient.send(httpRequest.build(), BodyHandlers.ofString());
            return resultOfResponse(response);
        } catch (IOException e) {
            return resultOfFailure(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return RequestResult.withoutResponse(Kind.CUT, "interrupted");
        }
    }

    private static HttpRequest.Builder postRequest(URI uri, ObjectNode body) {
        return HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer " + TOKEN)
                .header("Content-Type", "application/json")
                .timeout(REQUEST_TIMEOUT)
                .POST(BodyPublishers.ofString(body.toString()));
    }

    private static RequestResult resultOfFailure(IOException e) {
        boolean unreachable =
                e instanceof ConnectException || e instanceof HttpConnectTimeoutException;
        return RequestResult.withoutResponse(
                unreachable ? Kind.UNREACHABLE : Kind.CUT, e.toString());
    }

    private static RequestResult resultOfResponse(HttpResponse<String> response)
            throws JsonProcessingException {
        String type = response.headers().firstValue("Content-Type").orElse("");
        if (response.statusCode() == 200 && type.startsWith("text/event-stream")) {
            return resultOfStream(response.body());
        }
        JsonNode json;
        try {
            json = JSON.readTree(response.body());
        } catch (JsonProcessingException e) {
            return RequestResult.withoutResponse(
                    Kind.INVALID, response.statusCode() + " " + response.body());
        }
        return response.statusCode() == 200
                ? resultOfCompleteAnswer(json, json.path("output").asText())
                : resultOfProblem(response.statusCode(), json);
    }

    private static RequestResult resultOfStream(String text) throws JsonProcessingException {
        StringBuilder output = new StringBuilder();
        String event = "";
        for (String line : text.split("\n", -1)) {
            if (line.startsWith("event:")) {
                event = line.substring("event:".length()).trim();
            } else if (line.startsWith("data:")) {
                JsonNode data = JSON.readTree(line.substring("data:".length()));
                if (event.equals("end")) {
                    return resultOfCompleteAnswer(data, output.toString());
                }
                if (event.equals("error")) {
                    return resultOfProblem(data.path("status").asInt(), data);
                }
                output.append(data.path("text").asText());
            }
        }
        return RequestResult.withoutResponse(Kind.CUT, "stream without end event");
    }

    private static RequestResult resultOfCompleteAnswer(JsonNode body, String output) {
        String id = body.path("request_id").asText();
        boolean valid = !id.isEmpty() && body.path("verdict").asText().equals("RAN");
        if (!valid || !output.contains(id)) {
            return new RequestResult(
                    Kind.INVALID, 200, body, output, "not the complete answer to this request");
        }
        return new RequestResult(Kind.WHOLE, 200, body, output, "");
    }

    private static RequestResult resultOfProblem(int status, JsonNode body) {
        String verdict = body.path("verdict").asText();
        boolean valid =
                verdict.matches("NOT_RUN|MAY_HAVE_RUN|RAN") && body.path("code").isTextual();
        return valid
                ? new RequestResult(Kind.REFUSED, status, body, "", "")
                : new RequestResult(
                        Kind.INVALID, status, body, "", "problem without verdict or code");
    }
}
