package org.bulrushvale.standin.plain;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.standin.http.IncomingCall;
import org.bulrushvale.standin.stage.StageCall;
import org.bulrushvale.standin.stage.StageHooks;
import org.bulrushvale.standin.stage.StageOptions;
import org.bulrushvale.standin.stage.StageOutput;
import org.bulrushvale.standin.stage.StageServer;

/**
 * A simulated service without protection against repeated calls, such as a booking service: it runs
 * every call that it receives and records each run in a ledger. A test finds repeated calls there:
 *
 * <pre>{@code
 * service.ledger().stream().filter(run -> run.requestId().equals(id)).count(); // at most 1
 * }</pre>
 *
 * <p>Invariant: the ledger contains a run before its answer is sent; entries survive a simulated
 * crash of the service, but not the end of the process. Thread safety: safe for use by any thread.
 */
public final class PlainService implements AutoCloseable {
    private final StageServer mServer;
    private final Ledger mLedger;

    private PlainService(StageServer server, Ledger ledger) {
        mServer = server;
        mLedger = ledger;
    }

    /** Returns a builder of a small, warm service. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the bound port. */
    public int port() {
        return mServer.port();
    }

    /** Returns all runs so far, in the order in which they started. */
    public List<LedgerEntry> ledger() {
        return List.copyOf(mLedger.mEntries);
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
                        .name("plain")
                        .baseTime(Duration.ofMillis(10))
                        .tokenTime(Duration.ofNanos(1));

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

        /** Starts the service. */
        public PlainService start() throws IOException {
            Ledger ledger = new Ledger();
            StageServer server = StageServer.create(mOptions.build(), ledger, ledger::handle);
            server.control(mControl);
            server.open();
            return new PlainService(server, ledger);
        }
    }

    /** Records each run when it starts. Thread safety: safe for use by any thread. */
    private static final class Ledger implements StageHooks {
        private final List<LedgerEntry> mEntries = Collections.synchronizedList(new ArrayList<>());

        @Override
        public void onCallStarted(StageCall call) {
            mEntries.add(
                    new LedgerEntry(
                            call.requestId(),
                            call.attemptId(),
                            call.workspace(),
                            call.stage(),
                            StageOutput.sha256Hex(call.input()),
                            Clock.system().now().toEpochMilli()));
        }

        @Override
        public boolean isCancellable() {
            return false;
        }

        private boolean handle(IncomingCall call) {
            if (!call.is("GET", "/control/ledger")) {
                return false;
            }
            call.respond(200, mEntries);
            return true;
        }
    }
}
