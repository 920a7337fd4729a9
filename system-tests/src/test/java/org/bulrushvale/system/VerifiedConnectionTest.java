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

/**
 * Guards against a request that is sent to a restarted server process although the process before
 * the restart was chosen for it.
 */
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
    public void an_attempt_for_the_process_before_a_restart_is_never_sent() throws Exception {
        // when
        String outcome = runAttempt("epoch-of-the-predecessor");
        // then
        assertThat(outcome).isEqualTo("CONNECT, sent: false");
        assertThat(mServer.stats().path("calls").asInt()).isZero();
    }

    @Test
    public void an_attempt_for_the_running_process_is_answered() throws Exception {
        // given
        String epoch = mServer.stats().path("epoch").asText();
        // then: on a new connection, and on the one that is idle afterwards
        assertThat(runAttempt(epoch)).isEqualTo("completed, sent: true");
        assertThat(runAttempt(epoch)).isEqualTo("completed, sent: true");
        assertThat(mServer.stats().path("calls").asInt()).isEqualTo(2);
    }

    private String runAttempt(String epoch) throws Exception {
        BackendAddress address = new BackendAddress("pool", "127.0.0.1", mServer.port());
        StageAttemptRequest call =
                new StageAttemptRequest(
                        "encode", "a-1", "r-1", "w", "text", 0, 0, false, Duration.ofSeconds(2));
        OutcomeRecorder outcomeRecorder = new OutcomeRecorder();
        var unused = mClient.sendAttempt(address, call, epoch, outcomeRecorder);
        return outcomeRecorder.mOutcome.get(10, TimeUnit.SECONDS);
    }

    /**
     * Records how an attempt ends and whether its request was sent.
     *
     * <p>Thread safety: called by one I/O thread at a time.
     */
    private static final class OutcomeRecorder implements AttemptListener {
        private final CompletableFuture<String> mOutcome = new CompletableFuture<>();
        private volatile boolean mSent;

        private void completeWith(String outcome) {
            mOutcome.complete(outcome + ", sent: " + mSent);
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
            completeWith("text");
        }

        @Override
        public void foreignResponse(String attemptId) {
            completeWith("foreign");
        }

        @Override
        public void completed(String output, long tokens) {
            completeWith("completed");
        }

        @Override
        public void streamEnded(long tokens) {
            completeWith("stream ended");
        }

        @Override
        public void refused(int status) {
            completeWith("refused");
        }

        @Override
        public void failed(BackendFailure failure, String detail) {
            completeWith(failure.name());
        }
    }
}
