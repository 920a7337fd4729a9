package org.bulrushvale.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.bulrushvale.standin.http.Json;

/** HTTP client of a stand-in on the local host. Thread safety: safe for use by any thread. */
final class StandinClient {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final int mPort;

    StandinClient(int port) {
        mPort = port;
    }

    private HttpRequest.Builder requestTo(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mPort + path))
                .timeout(Duration.ofSeconds(10));
    }

    HttpResponse<String> fetch(String path) throws IOException, InterruptedException {
        return CLIENT.send(requestTo(path).build(), BodyHandlers.ofString());
    }

    JsonNode fetchJson(String path) throws IOException, InterruptedException {
        return Json.parse(fetch(path).body().getBytes(StandardCharsets.UTF_8));
    }

    CompletableFuture<HttpResponse<String>> post(String path, String body) {
        return CLIENT.sendAsync(
                requestTo(path).POST(BodyPublishers.ofString(body)).build(),
                BodyHandlers.ofString());
    }

    int delete(String path) throws IOException, InterruptedException {
        return CLIENT.send(requestTo(path).DELETE().build(), BodyHandlers.ofString()).statusCode();
    }

    CompletableFuture<HttpResponse<String>> callStage(
            String stage, String attemptId, String extraFields) {
        return post(
                "/v1/stages/" + stage,
                "{\"attempt_id\":\""
                        + attemptId
                        + "\",\"request_id\":\"r1\",\"input\":\"in\""
                        + extraFields
                        + "}");
    }
}
