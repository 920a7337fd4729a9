package org.bulrushvale.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.daemon.forward.ForwardMain;
import org.testng.annotations.Test;

/** Guards against a start that does not report bad settings or that loads picocli needlessly. */
public class ForwardStartTest {
    private static final int BAD_SETTINGS = 2;
    private static final int LIMIT_SECONDS = 30;

    private record Run(int code, String output) {}

    private static Run run(String settings, String... arguments) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xlog:class+load", "-cp", System.getProperty("java.class.path")));
        command.add(ForwardMain.class.getName());
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().remove("BULRUSHVALE_CONFIG");
        if (!settings.isEmpty()) {
            builder.environment().put("BULRUSHVALE_CONFIG", settings);
        }
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        return new Run(process.exitValue(), output);
    }

    private static Path badSettings() throws IOException {
        Path file = Files.createTempFile("entry", ".ini");
        file.toFile().deleteOnExit();
        return Files.writeString(file, "[entry]\nvm = vm-1\n[listen]\ncallers = nowhere\n");
    }

    // Loading picocli would delay each restart, during which callers are refused.
    @Test
    public void a_start_without_options_reads_the_settings_that_the_environment_names()
            throws Exception {
        // when
        Run run = run(badSettings().toString());
        // then
        assertThat(run.code()).isEqualTo(BAD_SETTINGS);
        assertThat(run.output()).contains("failure_domain").contains("nowhere");
        assertThat(run.output()).doesNotContain("picocli");
    }

    @Test
    public void a_start_without_settings_says_how_to_name_them() throws Exception {
        Run run = run("");
        assertThat(run.code()).isEqualTo(BAD_SETTINGS);
        assertThat(run.output()).contains("use --settings or set BULRUSHVALE_CONFIG");
    }

    @Test
    public void a_check_names_every_fault() throws Exception {
        Run run = run("", "--check", "--settings", badSettings().toString());
        assertThat(run.code()).isEqualTo(BAD_SETTINGS);
        assertThat(run.output()).contains("failure_domain").contains("nowhere");
    }
}
