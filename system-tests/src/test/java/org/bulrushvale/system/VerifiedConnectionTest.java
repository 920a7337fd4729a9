package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.backend.AttemptListener;
import org.bulrushvale.adapters.backend.BackendAddress;
import org.bulrushvale.adapters.backend.BackendClient;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.backend.StageAttemptRequest;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.standin.pool.PoolServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against work that reaches a restarted server although its predecessor was chosen. */
public class VerifiedConnectionTest {
    private PoolServer mServer;
    private BackendClient mClient;

    @BeforeMethod
    public void start() throws Exception {
        mServer = PoolServer.builder().start();
        mClient =
                BackendClient.start(
                        new EntrySettings.Backend(
                                Duration.ofSeconds(2),
                                Duration.ofSeconds(2),
                                Duration.ofMillis(500),
                                1 << 20),
                        server -> {});
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mClient.close();
        mServer.close();
    }

    @Test
    public void an_attempt_permitted_for_another_process_is_never_sent() throws Exception {
        // when
        String outcome = run("epoch-of-the-predecessor");
        // then
        assertThat(outcome).isEqualTo("CONNECT, sent: false");
        assertThat(mServer.stats().path("calls").asInt()).isZero();
    }

    @Test
    public void an_attempt_permitted_for_this_process_is_answered() throws Exception {
        // given
        String epoch = mServer.stats().path("epoch").asText();
        // then: on a new connection, and on the one that is idle afterwards
        assertThat(run(epoch)).isEqualTo("completed, sent: true");
        assertThat(run(epoch)).isEqualTo("completed, sent: true");
        assertThat(mServer.stats().path("calls").asInt()).isEqualTo(2);
    }

    private String run(String epoch) throws Exception {
        BackendAddress address = new BackendAddress("pool", "127.0.0.1", mServer.port());
        StageAttemptRequest call =
                new StageAttemptRequest(
                        "encode", "a-1", "r-1", "w", "text", 0, 0, false, Duration.ofSeconds(2));
        Recorder recorder = new Recorder();
        var unused = mClient.run(address, call, epoch, recorder);
        return recorder.mOutcome.get(10, TimeUnit.SECONDS);
    }

    /** Thread safety: called by one I/O thread at a time. */
    private static final class Recorder implements AttemptListener {
        private final CompletableFuture<String> mOutcome = new CompletableFuture<>();
        private volatile boolean mSent;

        private void end(String what) {
            mOutcome.complete(what + ", sent: " + mSent);
        }

        @Override
        public void connecting() {}

        @Override
        public boolean beforeSend() {
            mSent = true;
            return true;
        }

        @Override
        public void text(long offset, String text) {
            end("text");
        }

        @Override
        public void foreignResponse(String attemptId) {
            end("foreign");
        }

        @Override
        public void completed(String output, long tokens) {
            end("completed");
        }

        @Override
        public void streamEnded(long tokens) {
            end("stream ended");
        }

        @Override
        public void refused(int status) {
            end("refused");
        }

        @Override
        public void failed(BackendFailure failure, String detail) {
            end(failure.name());
        }
    }
}
