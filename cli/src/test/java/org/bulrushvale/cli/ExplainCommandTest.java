package org.bulrushvale.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a timeline of a request that omits what other entries logged about its server. */
public class ExplainCommandTest {
    private static final String SEND_LINE =
            line("10:00:05.000", "vm-1", "send", "'request':'r1','server':'s-1','attempt':1");
    private static final String ATTEMPT_LOST_LINE =
            line(
                    "10:00:05.400",
                    "vm-1",
                    "attempt_lost",
                    "'request':'r1','server':'s-1','sent':'true','failure':'CUT'");
    private static final String REQUEST_END_LINE =
            line(
                    "10:00:05.401",
                    "vm-1",
                    "request",
                    "'request':'r1','status':502,'verdict':'MAY_HAVE_RUN','ms':420");

    private final StringWriter mOut = new StringWriter();
    private final StringWriter mErr = new StringWriter();

    @BeforeMethod
    public void clearOutput() {
        mOut.getBuffer().setLength(0);
        mErr.getBuffer().setLength(0);
    }

    private static String line(String time, String vm, String event, String fields) {
        return "{'time':'2026-01-01T%sZ','vm':'%s','event':'%s',%s}"
                .formatted(time, vm, event, fields)
                .replace('\'', '"');
    }

    private static String logFile(String... lines) throws IOException {
        Path file = Files.createTempFile("entry", ".log");
        file.toFile().deleteOnExit();
        Files.write(file, String.join("\n", lines).getBytes(StandardCharsets.UTF_8));
        return file.toString();
    }

    private int run(String... args) {
        return BulrushvalectlMain.run(
                new PrintWriter(mOut, true), new PrintWriter(mErr, true), args);
    }

    @Test
    public void timeline_joins_lines_of_all_entries_about_the_request_and_its_server()
            throws IOException {
        // given: two logs; the first has a line of another program and a line with the prefix of a
        // log collector
        String firstLog =
                logFile(
                        REQUEST_END_LINE,
                        SEND_LINE,
                        "no log line",
                        "  5.400 vm-1 " + ATTEMPT_LOST_LINE);
        String secondLog =
                logFile(
                        line(
                                "10:00:05.390",
                                "vm-2",
                                "attempt_lost",
                                "'request':'r2','server':'s-1','failure':'CUT'"),
                        line(
                                "10:00:05.395",
                                "vm-2",
                                "attempt_lost",
                                "'request':'r3','server':'s-9','failure':'CUT'"),
                        line("10:00:05.200", "vm-2", "config", "'version':7"),
                        line("10:00:59.000", "vm-2", "server_gone", "'server':'s-1'"));
        // when
        int code = run("explain", "r1", firstLog, secondLog, "--output", "json");
        // then
        JsonNode json = JsonMapper.builder().build().readTree(mOut.toString());
        assertThat(code).isZero();
        assertThat(json.path("ending").asText()).isEqualTo("OUTCOME_UNKNOWN");
        assertThat(json.path("lines").findValuesAsText("event"))
                .containsExactly("send", "attempt_lost", "request");
        assertThat(json.path("around").findValuesAsText("request")).containsExactly("r2");
        assertThat(json.path("unreadable_lines").asInt()).isEqualTo(1);
    }

    @Test
    public void state_changes_of_its_entry_shortly_before_the_request_are_shown()
            throws IOException {
        // given
        String log =
                logFile(
                        line("10:00:01.000", "vm-1", "store_lost", "'detail':'too early'"),
                        line("10:00:04.000", "vm-1", "config", "'version':7"),
                        SEND_LINE,
                        ATTEMPT_LOST_LINE,
                        REQUEST_END_LINE);
        // when
        int code = run("explain", "r1", log);
        // then
        assertThat(code).isZero();
        assertThat(mOut.toString())
                .startsWith("request r1: a server may have run it")
                .contains("around it:", "version=7")
                .doesNotContain("too early");
    }

    @Test
    public void unknown_request_and_missing_file_are_errors() throws IOException {
        assertThat(run("explain", "r9", logFile(SEND_LINE, "garbage"))).isEqualTo(1);
        assertThat(mErr.toString()).contains("no line about request r9 (1 unreadable lines)");
        assertThat(run("explain", "r9", "no-such-file")).isEqualTo(2);
        assertThat(run("explain", "r9")).isEqualTo(2);
    }

    @Test
    public void request_without_an_end_line_is_not_reported_as_answered() throws IOException {
        assertThat(run("explain", "r1", logFile(SEND_LINE))).isZero();
        assertThat(mOut.toString()).contains("the entry died, or the line was left out");
    }
}
