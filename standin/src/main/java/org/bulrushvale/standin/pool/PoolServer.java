package org.bulrushvale.standin.pool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import org.bulrushvale.standin.stage.StageHooks;
import org.bulrushvale.standin.stage.StageOptions;
import org.bulrushvale.standin.stage.StageServer;

/**
 * A simulated backend server of an encoder, retriever or reranker pool.
 *
 * <p>Invariant: see {@link StageServer}. Thread safety: safe for use by any thread.
 */
public final class PoolServer implements AutoCloseable {
    private final StageServer mServer;

    private PoolServer(StageServer server) {
        mServer = server;
    }

    /** Returns a builder of a small, warm server. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the bound port. */
    public int port() {
        return mServer.port();
    }

    /** Returns the counts, as {@code GET /control/stats} does. */
    public JsonNode stats() {
        return mServer.stats();
    }

    /** Changes fault settings or triggers a crash, as {@code POST /control} does. */
    public void control(String json) {
        mServer.control(json);
    }

    @Override
    public void close() {
        mServer.close();
    }

    /** Collects the options. Thread safety: not safe; used by one thread. */
    public static final class Builder {
        private final StageOptions.Builder mOptions =
                StageOptions.builder()
                        .name("pool")
                        .slots(16)
                        .bearable(4)
                        .baseTime(Duration.ofMillis(3))
                        .tokenTime(Duration.ofNanos(50_000));

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

        /** Starts the server. */
        public PoolServer start() throws IOException {
            StageServer server =
                    StageServer.create(mOptions.build(), new StageHooks() {}, call -> false);
            server.control(mControl);
            server.open();
            return new PoolServer(server);
        }
    }
}
