package org.bulrushvale.standin.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import org.bulrushvale.standin.http.IncomingCall;
import org.bulrushvale.standin.http.Json;
import org.bulrushvale.standin.stage.StageCall;
import org.bulrushvale.standin.stage.StageHooks;
import org.bulrushvale.standin.stage.StageOptions;
import org.bulrushvale.standin.stage.StageServer;
import org.jspecify.annotations.Nullable;

/**
 * A simulated model runner (inference server): it batches calls in slots, caches prompt prefixes,
 * streams tokens, can start cold, and accepts operator orders that carry a fencing token.
 *
 * <pre>{@code
 * try (ModelRunner runner =
 *         ModelRunner.builder().options(o -> o.slots(4).bearable(1).coldCompletions(3)).start()) {
 *     runner.control("{\"poison\":\"PX\"}");
 *     int port = runner.port();
 * }
 * }</pre>
 *
 * <p>Invariant: see {@link StageServer}. Thread safety: safe for use by any thread.
 */
public final class ModelRunner implements AutoCloseable {
    private static final long DEFAULT_CACHE_BYTES = 4L << 20;

    private final OrderLog mOrderLog = new OrderLog();
    private volatile @Nullable StageServer mServer;

    private ModelRunner() {}

    /** Returns a builder of a small, warm model runner. */
    public static Builder builder() {
        return new Builder();
    }

    private StageServer server() {
        StageServer server = mServer;
        if (server == null) {
            throw new IllegalStateException("the model runner is not started");
        }
        return server;
    }

    private boolean handle(IncomingCall call) {
        if (call.is("POST", "/v1/orders")) {
            boolean honorFence = server().faults().honorFence();
            boolean accepted = mOrderLog.accept(Json.parse(call.body()), honorFence);
            call.respond(accepted ? 200 : 409, Json.object().put("accepted", accepted));
            return true;
        }
        if (call.is("GET", "/control/orders")) {
            call.respond(200, mOrderLog.toJson());
            return true;
        }
        return false;
    }

    /** Returns the bound port. */
    public int port() {
        return server().port();
    }

    /** Returns the counts, as {@code GET /control/stats} does. */
    public JsonNode stats() {
        return server().stats();
    }

    /** Changes fault settings or triggers a crash, as {@code POST /control} does. */
    public void control(String json) {
        server().control(json);
    }

    @Override
    public void close() {
        server().close();
    }

    /** Makes the answer as long as the call's {@code max_tokens} says. Thread safety: stateless. */
    private static final class MaxTokensHooks implements StageHooks {
        @Override
        public int tokenCount(StageCall call, int defaultTokens) {
            return call.maxTokens() > 0 ? call.maxTokens() : defaultTokens;
        }
    }

    /** Collects the options. Thread safety: not safe; used by one thread. */
    public static final class Builder {
        private final StageOptions.Builder mOptions =
                StageOptions.builder()
                        .name("model")
                        .baseTime(Duration.ofMillis(20))
                        .tokenTime(Duration.ofMillis(5))
                        .cacheBytes(DEFAULT_CACHE_BYTES);

        private String mControl = "{}";

        private Builder() {}

        /** Sets the JSON text of settings to apply before the first connection. */
        public Builder control(String json) {
            mControl = json;
            return this;
        }

        /** Changes options of the simulated server. */
        public Builder options(Consumer<StageOptions.Builder> change) {
            change.accept(mOptions);
            return this;
        }

        /** Starts the model runner. */
        public ModelRunner start() throws IOException {
            ModelRunner runner = new ModelRunner();
            runner.mServer =
                    StageServer.create(mOptions.build(), new MaxTokensHooks(), runner::handle);
            runner.server().control(mControl);
            runner.server().open();
            return runner;
        }
    }
}
