package org.bulrushvale.standin.stage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import org.bulrushvale.standin.http.Call;
import org.bulrushvale.standin.http.HttpEndpoint;
import org.bulrushvale.standin.http.Json;

/**
 * The HTTP interface of a backend server stand-in, with {@code /control} for its faults.
 *
 * <p>Invariant: {@code /control} answers under every fault except while the listener is down.
 * Thread safety: safe for use by any thread.
 */
public final class StageServer implements AutoCloseable {
    private static final String STAGES = "/v1/stages/";
    private static final String ATTEMPTS = "/v1/attempts/";

    private final StageOptions mOptions;
    private final Predicate<Call> mMore;
    private final HttpEndpoint mEndpoint;
    private final StageEngine mEngine;

    private StageServer(StageOptions options, StageObserver observer, Predicate<Call> more)
            throws IOException {
        mOptions = options;
        mMore = more;
        mEndpoint =
                HttpEndpoint.create(
                        options.name(),
                        new InetSocketAddress(options.host(), options.port()),
                        this::handle);
        mEngine = new StageEngine(options, mEndpoint, observer);
    }

    /**
     * Returns a server that does not listen yet.
     *
     * @param more handles further paths; returns false for an unknown one
     */
    public static StageServer create(
            StageOptions options, StageObserver observer, Predicate<Call> more) throws IOException {
        return new StageServer(options, observer, more);
    }

    /** Binds the port and starts to answer. */
    public void open() throws IOException {
        mEndpoint.open();
    }

    /** Returns the bound port. */
    public int port() {
        return mEndpoint.port();
    }

    /** Returns the counts, as {@code GET /control/stats} does. */
    public JsonNode stats() {
        return mEndpoint.call(() -> mEngine.stats());
    }

    /** Applies settings, as {@code POST /control} does. */
    public void control(String json) {
        ObjectNode patch = (ObjectNode) Json.parse(json.getBytes(StandardCharsets.UTF_8));
        mEndpoint.call(() -> apply(patch));
    }

    /** Returns the faults in force; called on the endpoint's thread. */
    public FaultSettings faults() {
        return mEngine.faults();
    }

    private void handle(Call call) {
        String path = call.path();
        if (path.startsWith(STAGES) && call.method().equals("POST")) {
            String stage = path.substring(STAGES.length());
            mEngine.submit(StageCall.parse(stage, Json.parse(call.body())), call);
        } else if (path.startsWith(ATTEMPTS) && call.method().equals("DELETE")) {
            boolean cancelled = mEngine.cancel(path.substring(ATTEMPTS.length()));
            call.respond(cancelled ? 200 : 404, Json.object().put("cancelled", cancelled));
        } else if (call.is("GET", "/v1/load")) {
            call.respond(200, mEngine.load());
        } else if (call.is("GET", "/control")) {
            call.respond(200, mEngine.faults());
        } else if (call.is("POST", "/control")) {
            JsonNode patch = Json.parse(call.body());
            if (!patch.isObject()) {
                throw new IllegalArgumentException("a JSON object is needed");
            }
            call.respond(200, apply((ObjectNode) patch));
        } else if (call.is("GET", "/control/stats")) {
            call.respond(200, mEngine.stats());
        } else if (call.is("GET", "/v1/cache/events")) {
            call.respond(200, mEngine.cacheEvents(call.number("after", 0)));
        } else if (!mMore.test(call)) {
            call.respond(404, Json.object().put("error", "unknown path"));
        }
    }

    private JsonNode apply(ObjectNode patch) {
        JsonNode crash = patch.remove("crash");
        JsonNode cold = patch.remove("cold");
        JsonNode reset = patch.remove("reset");
        boolean fromHealthy = reset != null && reset.asBoolean();
        FaultSettings current = fromHealthy ? FaultSettings.none() : mEngine.faults();
        FaultSettings faults = Json.merge(current, patch, FaultSettings.class);
        mEngine.faults(faults);
        if (cold != null && cold.asBoolean()) {
            mEngine.turnCold();
        }
        if (crash != null) {
            crash(crash.asText());
        }
        return Json.tree(faults);
    }

    private void crash(String how) {
        if (how.equals("restart")) {
            mEngine.fallOver();
        } else if (how.equals("halt") && mOptions.haltOnCrash()) {
            Runtime.getRuntime().halt(137);
        } else if (how.equals("halt")) {
            close();
        } else {
            throw new IllegalArgumentException("crash is halt or restart");
        }
    }

    /** Closes the listener and every connection at once. */
    @Override
    public void close() {
        mEndpoint.close();
    }
}
