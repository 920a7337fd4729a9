package org.bulrushvale.standin.stage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import org.bulrushvale.standin.http.HttpEndpoint;
import org.bulrushvale.standin.http.IncomingCall;
import org.bulrushvale.standin.http.Json;

/**
 * The HTTP interface of a simulated backend server. Tests set its faults at {@code /control}.
 *
 * <p>Invariant: {@code /control} answers under every fault except while the listener is down.
 * Thread safety: safe for use by any thread.
 */
public final class StageServer implements AutoCloseable {
    private static final String STAGES_PATH = "/v1/stages/";
    private static final String ATTEMPTS_PATH = "/v1/attempts/";

    private final StageOptions mOptions;
    private final Predicate<IncomingCall> mFurtherPaths;
    private final HttpEndpoint mEndpoint;
    private final StageEngine mEngine;

    private StageServer(
            StageOptions options, StageHooks hooks, Predicate<IncomingCall> furtherPaths)
            throws IOException {
        mOptions = options;
        mFurtherPaths = furtherPaths;
        mEndpoint =
                HttpEndpoint.create(
                        options.name(),
                        new InetSocketAddress(options.host(), options.port()),
                        this::handle);
        mEngine = new StageEngine(options, mEndpoint, hooks);
    }

    /**
     * Returns a server that does not listen yet.
     *
     * @param furtherPaths handles calls to paths that this class does not know; returns false when
     *     it does not know the path either
     */
    public static StageServer create(
            StageOptions options, StageHooks hooks, Predicate<IncomingCall> furtherPaths)
            throws IOException {
        return new StageServer(options, hooks, furtherPaths);
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
        return mEndpoint.callAndWait(() -> mEngine.statsJson());
    }

    /** Changes fault settings or triggers a crash, as {@code POST /control} does. */
    public void control(String json) {
        ObjectNode patch = (ObjectNode) Json.parse(json.getBytes(StandardCharsets.UTF_8));
        mEndpoint.callAndWait(() -> applyControl(patch));
    }

    /** Returns the faults in force; called on the endpoint's thread. */
    public FaultSettings faults() {
        return mEngine.faults();
    }

    private void handle(IncomingCall call) {
        String path = call.path();
        if (path.startsWith(STAGES_PATH) && call.method().equals("POST")) {
            String stage = path.substring(STAGES_PATH.length());
            mEngine.submit(StageCall.parse(stage, Json.parse(call.body())), call);
        } else if (path.startsWith(ATTEMPTS_PATH) && call.method().equals("DELETE")) {
            boolean cancelled = mEngine.cancel(path.substring(ATTEMPTS_PATH.length()));
            call.respond(cancelled ? 200 : 404, Json.object().put("cancelled", cancelled));
        } else if (call.is("GET", "/v1/load")) {
            call.respond(200, mEngine.loadJson());
        } else if (call.is("GET", "/control")) {
            call.respond(200, mEngine.faults());
        } else if (call.is("POST", "/control")) {
            JsonNode patch = Json.parse(call.body());
            if (!patch.isObject()) {
                throw new IllegalArgumentException("the body must be a JSON object");
            }
            call.respond(200, applyControl((ObjectNode) patch));
        } else if (call.is("GET", "/control/stats")) {
            call.respond(200, mEngine.statsJson());
        } else if (call.is("GET", "/v1/cache/events")) {
            call.respond(200, mEngine.cacheEventsJson(call.queryNumber("after", 0)));
        } else if (!mFurtherPaths.test(call)) {
            call.respond(404, Json.object().put("error", "unknown path"));
        }
    }

    private JsonNode applyControl(ObjectNode patch) {
        JsonNode crash = patch.remove("crash");
        JsonNode cold = patch.remove("cold");
        JsonNode reset = patch.remove("reset");
        boolean fromHealthy = reset != null && reset.asBoolean();
        FaultSettings current = fromHealthy ? FaultSettings.none() : mEngine.faults();
        FaultSettings faults = Json.merge(current, patch, FaultSettings.class);
        mEngine.faults(faults);
        if (cold != null && cold.asBoolean()) {
            mEngine.makeCold();
        }
        if (crash != null) {
            crash(crash.asText());
        }
        return Json.tree(faults);
    }

    private void crash(String mode) {
        if (mode.equals("restart")) {
            mEngine.crashAndRestart();
        } else if (mode.equals("halt") && mOptions.haltOnCrash()) {
            // 137 is the exit code of a process that was ended by SIGKILL.
            Runtime.getRuntime().halt(137);
        } else if (mode.equals("halt")) {
            close();
        } else {
            throw new IllegalArgumentException("crash must be halt or restart");
        }
    }

    /** Closes the listener and every connection at once. */
    @Override
    public void close() {
        mEndpoint.close();
    }
}
