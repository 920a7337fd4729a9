package org.bulrushvale.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.bulrushvale.decision.attainment.AttainmentOutcome;
import org.bulrushvale.decision.attainment.AttainmentTracker;
import org.bulrushvale.decision.config.ConfigWriter;
import org.bulrushvale.decision.config.FailureDomain;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.decision.config.WorkClass;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against wrong exit codes and against reports that omit an entry without an answer. */
public class BulrushvalectlMainTest {
    /** Nothing listens on port 1 of the loopback address. */
    private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

    private final StringWriter mOut = new StringWriter();
    private final StringWriter mErr = new StringWriter();

    @BeforeMethod
    public void clearOutput() {
        mOut.getBuffer().setLength(0);
        mErr.getBuffer().setLength(0);
    }

    @Test
    public void exit_codes_distinguish_refusal_wrong_usage_and_unreachable_entry() {
        try (FakeEntry entry = new FakeEntry().answer("/v1/status", "{\"ready\":true}")) {
            assertThat(run("status", "--entry", entry.address())).isZero();
            assertThat(mOut.toString()).contains("ready  true");
            assertThat(run("classes", "--entry", entry.address())).isEqualTo(1);
            assertThat(mErr.toString()).contains("Overloaded (503); verdict: NOT_RUN");
        }
        assertThat(run("status", "--entry", "nonsense")).isEqualTo(2);
        assertThat(run("status", "--output", "xml", "--entry", UNREACHABLE_ADDRESS)).isEqualTo(2);
        assertThat(run("status", "--entry", UNREACHABLE_ADDRESS)).isEqualTo(3);
        assertThat(run()).isEqualTo(2);
    }

    @Test
    public void local_commands_need_no_entry() {
        assertThat(run("version")).isZero();
        assertThat(run("completion")).isZero();
        assertThat(run("report", "burn", "--help")).isZero();
        assertThat(mOut.toString()).contains("bulrushvalectl", "complete -F", "--html");
    }

    @Test
    public void status_of_all_entries_lists_the_entry_that_does_not_answer() throws IOException {
        try (FakeEntry first = new FakeEntry();
                FakeEntry second = new FakeEntry()) {
            // given
            first.answer("/v1/status", "{\"ready\":true}").answer("/v1/peers", peersJson(second));
            second.answer("/v1/status", "{\"ready\":false,\"reason\":\"ISOLATED\"}");
            // when
            int exitCode = run("status", "--all", "--output", "json", "--entry", first.address());
            // then
            JsonNode list = JsonMapper.builder().build().readTree(mOut.toString());
            assertThat(exitCode).isEqualTo(3);
            assertThat(list.findValuesAsText("entry")).endsWith("second", "gone").hasSize(3);
            assertThat(list.findValuesAsText("reachable")).containsExactly("true", "true", "false");
            assertThat(list.findValuesAsText("reason")).containsExactly("ISOLATED");
        }
    }

    @Test
    public void burn_report_merges_entries_and_embeds_its_plots() throws IOException {
        Path page = Files.createTempFile("burn", ".html");
        try (FakeEntry first = new FakeEntry();
                FakeEntry second = new FakeEntry()) {
            // given
            first.answer("/v1/burn", burnJson("first", 90, 10))
                    .answer("/v1/peers", peersJson(second));
            second.answer("/v1/burn", burnJson("second", 100, 0));
            // when
            String[] reportBurn = {"report", "burn", "--entry", first.address()};
            assertThat(
                            run(
                                    reportBurn[0],
                                    reportBurn[1],
                                    reportBurn[2],
                                    reportBurn[3],
                                    "--html",
                                    page.toString()))
                    .isZero();
            String table = mOut.toString();
            mOut.getBuffer().setLength(0);
            assertThat(
                            run(
                                    reportBurn[0],
                                    reportBurn[1],
                                    reportBurn[2],
                                    reportBurn[3],
                                    "--output",
                                    "json"))
                    .isZero();
            // then
            JsonNode json = JsonMapper.builder().build().readTree(mOut.toString());
            assertThat(table).contains("missing: gone", "ALERT", "0.9500");
            assertThat(json.at("/classes/0/counts/met").asInt()).isEqualTo(190);
            assertThat(json.at("/missing/0").asText()).isEqualTo("gone");
            String html = Files.readString(page);
            assertThat(html.split("data:image/png;base64,iVBOR", -1)).hasSize(4);
            assertThat(html).contains("&lt;seat&gt;").doesNotContain("<seat>", "http:", "https:");
        } finally {
            Files.delete(page);
        }
    }

    @Test
    public void an_entry_that_answers_at_two_addresses_is_counted_once() throws IOException {
        try (FakeEntry first = new FakeEntry();
                FakeEntry second = new FakeEntry()) {
            // given
            first.answer("/v1/burn", burnJson("first", 90, 10));
            second.answer("/v1/burn", burnJson("first", 90, 10));
            String bothAddresses = first.address() + "," + second.address();
            // when
            assertThat(run("report", "burn", "--entry", bothAddresses, "--output", "json"))
                    .isZero();
            // then
            JsonNode json = JsonMapper.builder().build().readTree(mOut.toString());
            assertThat(json.at("/classes/0/counts/met").asInt()).isEqualTo(90);
            assertThat(json.at("/missing/0").asText()).isEqualTo(second.address());
        }
    }

    @Test
    public void config_check_accepts_valid_values_and_reports_faults() throws IOException {
        Path directory = Files.createTempDirectory("config");
        PublishedConfig config =
                PublishedConfig.builder(1).addDomain(new FailureDomain("a", "r", true)).build();
        for (Map.Entry<String, String> value : ConfigWriter.write(config).entrySet()) {
            Files.writeString(directory.resolve(value.getKey() + ".json"), value.getValue());
        }
        assertThat(run("config", "check", directory.toString())).isZero();
        Files.writeString(directory.resolve("domains.json"), "[{\"name\":\"a\"}]");
        assertThat(run("config", "check", directory.toString())).isEqualTo(4);
        assertThat(mOut.toString()).contains("domains [0]");
        Path file = Files.writeString(directory.resolve("all.txt"), "{\"classes\":");
        assertThat(run("config", "check", file.toString())).isEqualTo(4);
        assertThat(run("config", "check", directory.resolve("none").toString())).isEqualTo(2);
    }

    @Test
    public void request_uses_the_new_key_and_does_not_print_the_token() throws IOException {
        Path token = Files.writeString(Files.createTempFile("token", ""), "secret-token\n");
        try (FakeEntry entry = new FakeEntry()) {
            // given
            entry.answer("/v1/keys", "{\"key\":\"k1\"}")
                    .answer("/v1/requests", "{\"verdict\":\"RAN\",\"output\":\"seat \\u001b[2J\"}");
            // when
            int exitCode =
                    run(
                            "request",
                            "--caller",
                            entry.address(),
                            "--workspace",
                            "w",
                            "--class",
                            "seat",
                            "--input",
                            "hello",
                            "--new-key",
                            "--token-file",
                            token.toString());
            // then
            assertThat(exitCode).isZero();
            assertThat(entry.calls().get(1))
                    .startsWith("/v1/requests Bearer secret-token k1 {")
                    .contains("\"input\":\"hello\"");
            assertThat(mErr.toString()).contains("key: k1").doesNotContain("secret-token");
            assertThat(mOut.toString()).contains("seat ?[2J").doesNotContain("secret-token");
        } finally {
            Files.delete(token);
        }
    }

    private int run(String... args) {
        return BulrushvalectlMain.run(new PrintWriter(mOut), new PrintWriter(mErr), args);
    }

    private static String peersJson(FakeEntry second) {
        return "{\"peers\":[{\"name\":\"second\",\"operator\":\""
                + second.address()
                + "\"},{\"name\":\"gone\",\"operator\":\""
                + UNREACHABLE_ADDRESS
                + "\"}]}";
    }

    private static String burnJson(String entry, int met, int missed) {
        AttainmentTracker tracker =
                new AttainmentTracker(entry, ManualClock.startingAt(Instant.EPOCH));
        WorkClass seat = new WorkClass("<seat>", 0.999, Duration.ofSeconds(1), 1, "p", true);
        for (int i = 0; i < met + missed; i++) {
            AttainmentOutcome outcome = i < met ? AttainmentOutcome.MET : AttainmentOutcome.QUEUE;
            tracker.onRequestEnded(seat, "large", outcome, Duration.ofMillis(80));
            tracker.onAttemptEnded("<seat>", "large", "rank", Duration.ofMillis(40), i < met);
        }
        return tracker.snapshot().toJson();
    }
}
