package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against a decision log that blocks its callers, buffers without bound or does not state
 * how many lines it dropped.
 */
public class DecisionLogTest {
    private static final int LINES_PER_SECOND = 10;
    private static final int MANY_LINES = 200_000;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    /** Blocks writes until it is opened. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch mOpen = new CountDownLatch(1);
        private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

        @Override
        public void write(int value) throws IOException {
            try {
                mOpen.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            mBytes.write(value);
        }

        List<String> lines() {
            return mBytes.toString(StandardCharsets.UTF_8).lines().toList();
        }
    }

    private static void await(BlockedOutput output, int lines) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (output.lines().size() < lines && System.nanoTime() - end < 0) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(output.lines()).hasSizeGreaterThanOrEqualTo(lines);
    }

    @Test(timeOut = 20_000)
    public void a_blocked_output_neither_blocks_callers_nor_fills_memory()
            throws InterruptedException {
        // given
        BlockedOutput output = new BlockedOutput();
        try (DecisionLog log =
                new DecisionLog(mClock, new PrintStream(output, true), "vm-1", LINES_PER_SECOND)) {
            // when: far more lines than the queue holds; a log that blocks would never return
            for (int i = 0; i < MANY_LINES; i++) {
                log.line("config").with("version", i).writeAlways();
            }
            output.mOpen.countDown();
            await(output, 1);
            mClock.advance(Duration.ofSeconds(1));
            log.line("after").write();
            await(output, 2);
            // then
            TimeUnit.MILLISECONDS.sleep(200);
            assertThat(output.lines().size()).isLessThan(MANY_LINES);
            String last = output.lines().get(output.lines().size() - 1);
            assertThat(last).contains("\"event\":\"after\"", "\"left_out\":");
        }
    }

    @Test
    public void lines_beyond_the_rate_limit_are_counted_and_lines_about_the_process_are_kept()
            throws InterruptedException {
        // given
        BlockedOutput output = new BlockedOutput();
        output.mOpen.countDown();
        try (DecisionLog log =
                new DecisionLog(mClock, new PrintStream(output, true), "vm-1", LINES_PER_SECOND)) {
            // when
            for (int i = 0; i < 3 * LINES_PER_SECOND; i++) {
                log.line("request").with("request", "r" + i).write();
            }
            log.line("store_lost").writeAlways();
            // then
            await(output, LINES_PER_SECOND + 1);
            assertThat(output.lines()).hasSize(LINES_PER_SECOND + 1);
            assertThat(output.lines().get(LINES_PER_SECOND))
                    .contains("store_lost", "\"left_out\":" + 2 * LINES_PER_SECOND);
        }
    }

    // Lines are written without a JSON library, so one with a quote in it could be unreadable.
    @Test
    public void a_line_is_the_same_json_as_a_library_writes() throws Exception {
        // given
        String value =
                "quote \" back\\slash \n\t\r\b\f\u0001\u001f / \u00e9\u20ac\ud83d\ude00\u2028";
        String expected =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("time", mClock.now().toString())
                        .put("vm", "vm \"1\"")
                        .put("event", "config")
                        .put("detail", value)
                        .put("ms", Long.MIN_VALUE)
                        .toString();
        BlockedOutput output = new BlockedOutput();
        output.mOpen.countDown();
        PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
        // when
        try (DecisionLog log = new DecisionLog(mClock, out, "vm \"1\"", LINES_PER_SECOND)) {
            log.line("config").with("detail", value).with("ms", Long.MIN_VALUE).write();
            await(output, 1);
        }
        // then
        assertThat(output.lines().get(0)).isEqualTo(expected);
    }
}
