package org.bulrushvale.adapters.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushvale.decision.membership.Vm;
import org.bulrushvale.decision.membership.VmList;

/**
 * Client of the platform's services; its calls block and are bounded in time and response size.
 *
 * <p>Invariant: every call that is sent is counted, because the service counts it against its rate
 * limit. Thread safety: safe for use by any thread.
 */
public final class PlatformClient {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final JsonMapper JSON_MAPPER = new JsonMapper();

    private final URI mBase;
    private final Duration mTimeout;
    private final HttpClient mHttp;
    private final AtomicLong mCalls = new AtomicLong();

    private PlatformClient(URI base, Duration timeout) {
        mBase = base;
        mTimeout = timeout;
        mHttp =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(timeout)
                        .build();
    }

    /** Returns a client of the service at {@code base}, such as {@code http://10.0.0.1:8500}. */
    public static PlatformClient create(URI base, Duration timeout) {
        return new PlatformClient(base, timeout);
    }

    /** Returns the number of calls that were sent. */
    public long calls() {
        return mCalls.get();
    }

    /** Reads the index of published values. */
    public ConfigIndex index() throws PlatformException, InterruptedException {
        return index("/v1/index", mTimeout);
    }

    /** Reads the index once its revision exceeds {@code revision} or the wait time has passed. */
    public ConfigIndex watch(long revision, Duration wait)
            throws PlatformException, InterruptedException {
        String path = "/v1/watch?after=" + revision + "&wait_ms=" + wait.toMillis();
        return index(path, mTimeout.plus(wait));
    }

    private ConfigIndex index(String path, Duration timeout)
            throws PlatformException, InterruptedException {
        JsonNode root = parseJson(path, call(path, timeout).body());
        JsonNode values = root.path("values");
        if (!root.path("revision").isIntegralNumber() || !values.isObject()) {
            throw PlatformException.malformed(
                    path, "response is not an index with a revision and values");
        }
        Map<String, Long> revisions = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> value : values.properties()) {
            if (!value.getValue().isIntegralNumber()) {
                throw PlatformException.malformed(
                        path, "revision is not a whole number for value " + value.getKey());
            }
            revisions.put(value.getKey(), value.getValue().longValue());
        }
        return new ConfigIndex(root.path("revision").longValue(), revisions);
    }

    /** Reads one published value. */
    public PublishedValue value(String name) throws PlatformException, InterruptedException {
        String path = "/v1/values/" + name;
        HttpResponse<byte[]> response = call(path, mTimeout);
        String header = response.headers().firstValue("X-Revision").orElse("");
        try {
            String text = new String(response.body(), StandardCharsets.UTF_8);
            return new PublishedValue(Long.parseLong(header), text);
        } catch (NumberFormatException e) {
            throw PlatformException.malformed(path, "header X-Revision is not a whole number");
        }
    }

    /** Reads the list of VMs. */
    public VmList vms() throws PlatformException, InterruptedException {
        String path = "/v1/vms";
        JsonNode root = parseJson(path, call(path, mTimeout).body());
        if (!root.path("version").isIntegralNumber() || !root.path("vms").isArray()) {
            throw PlatformException.malformed(
                    path, "response is not a VM list with a version and VMs");
        }
        List<Vm> vms = new ArrayList<>();
        for (JsonNode node : root.path("vms")) {
            String name = node.path("name").asText();
            String state = node.path("state").asText();
            boolean leaving = "leaving".equals(state);
            if (name.isEmpty() || !(leaving || "live".equals(state))) {
                throw PlatformException.malformed(path, "VM has no name or an unknown state");
            }
            vms.add(
                    new Vm(
                            name,
                            node.path("address").asText(),
                            node.path("peer_port").asInt(),
                            node.path("failure_domain").asText(),
                            node.path("region").asText(),
                            leaving));
        }
        try {
            return VmList.of(root.path("version").longValue(), vms);
        } catch (IllegalArgumentException e) {
            throw PlatformException.malformed(path, "VM list contains a VM twice");
        }
    }

    private static JsonNode parseJson(String path, byte[] body) throws PlatformException {
        try {
            return JSON_MAPPER.readTree(body);
        } catch (IOException e) {
            throw PlatformException.malformed(path, "response is not JSON");
        }
    }

    private HttpResponse<byte[]> call(String path, Duration timeout)
            throws PlatformException, InterruptedException {
        mCalls.incrementAndGet();
        HttpRequest request =
                HttpRequest.newBuilder(mBase.resolve(path)).timeout(timeout).GET().build();
        CompletableFuture<HttpResponse<byte[]>> future =
                mHttp.sendAsync(request, info -> new BoundedBody(MAX_BODY_BYTES));
        try {
            // The timeout of HttpRequest covers only the headers; this one also covers the body.
            HttpResponse<byte[]> response = future.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
            if (response.statusCode() != 200) {
                throw PlatformException.status(path, response.statusCode());
            }
            return response;
        } catch (ExecutionException e) {
            throw PlatformException.unreachable(path, e.getCause() == null ? e : e.getCause());
        } catch (TimeoutException e) {
            throw PlatformException.unreachable(path, e);
        } finally {
            future.cancel(true);
        }
    }

    /**
     * The index of published values.
     *
     * <p>Thread safety: immutable.
     *
     * @param revision revision of the whole configuration
     * @param values revision of each value by name
     */
    public record ConfigIndex(long revision, Map<String, Long> values) {
        public ConfigIndex {
            values = Map.copyOf(values);
        }
    }

    /**
     * One published value.
     *
     * <p>Thread safety: immutable.
     *
     * @param revision revision of the configuration in which the value last changed
     * @param text value as JSON text
     */
    public record PublishedValue(long revision, String text) {}
}
