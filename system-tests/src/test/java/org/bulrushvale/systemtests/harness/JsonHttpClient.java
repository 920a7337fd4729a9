package org.bulrushvale.systemtests.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/**
 * HTTP client for the reports and control endpoints of the processes under test.
 *
 * <p>Thread safety: safe for use by any thread.
 */
final class JsonHttpClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final HttpClient HTTP_CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    private JsonHttpClient() {}

    static HttpResponse<String> get(URI uri) throws IOException, InterruptedException {
        return HTTP_CLIENT.send(
                HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(), BodyHandlers.ofString());
    }

    static JsonNode fetchJson(URI uri) throws IOException, InterruptedException {
        return parseBody(uri, get(uri));
    }

    static JsonNode postJson(URI uri, String body) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(TIMEOUT)
                        .POST(BodyPublishers.ofString(body))
                        .build();
        return parseBody(uri, HTTP_CLIENT.send(request, BodyHandlers.ofString()));
    }

    private static JsonNode parseBody(URI uri, HttpResponse<String> response) throws IOException {
        if (response.statusCode() / 100 != 2) {
            throw new IOException(uri + ": " + response.statusCode() + " " + response.body());
        }
        return JSON.readTree(response.body());
    }
}
