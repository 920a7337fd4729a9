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
 * Reads reports and sends settings to the processes under test.
 *
 * <p>Thread safety: safe for use by any thread.
 */
final class Http {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    private Http() {}

    static HttpResponse<String> get(URI uri) throws IOException, InterruptedException {
        return CLIENT.send(
                HttpRequest.newBuilder(uri).timeout(LIMIT).build(), BodyHandlers.ofString());
    }

    static JsonNode json(URI uri) throws IOException, InterruptedException {
        return body(uri, get(uri));
    }

    static JsonNode post(URI uri, String body) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(LIMIT)
                        .POST(BodyPublishers.ofString(body))
                        .build();
        return body(uri, CLIENT.send(request, BodyHandlers.ofString()));
    }

    private static JsonNode body(URI uri, HttpResponse<String> response) throws IOException {
        if (response.statusCode() / 100 != 2) {
            throw new IOException(uri + ": " + response.statusCode() + " " + response.body());
        }
        return JSON.readTree(response.body());
    }
}
