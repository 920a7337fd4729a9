package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a changed settings file that is read only after a signal or read twice, and
 * against an error when the file is missing while it is replaced.
 */
public class SettingsFileTest {
    private static final String SETTINGS =
            """
            [entry]
            vm = vm-1
            failure_domain = a
            region = r
            [listen]
            callers = 127.0.0.1:1
            ready = 127.0.0.1:2
            peers = 127.0.0.1:3
            metrics = 127.0.0.1:4
            [store]
            address = 127.0.0.1:5
            [fleet]
            name = test
            secret = secret-of-the-test-fleet
            """;

    private Path mPath = Path.of("");
    private SettingsFile mFile = new SettingsFile(mPath);

    @BeforeMethod
    public void writeSettings() throws IOException {
        mPath = Files.createTempFile("entry", ".ini");
        mPath.toFile().deleteOnExit();
        Files.writeString(mPath, SETTINGS);
        mFile = new SettingsFile(mPath);
        assertThat(mFile.read().faults()).isEmpty();
    }

    @Test
    public void a_change_without_a_signal_is_read_once() throws IOException {
        assertThat(mFile.readChanged()).isEmpty();
        // when
        Files.writeString(mPath, SETTINGS + "seeds = 127.0.0.1:9\n");
        // then
        ForwardSettings changed = mFile.readChanged().orElseThrow().settings().orElseThrow();
        assertThat(changed.fleet().seeds()).containsExactly(new InetSocketAddress("127.0.0.1", 9));
        assertThat(mFile.readChanged()).isEmpty();
    }

    @Test
    public void a_change_with_a_fault_reports_the_fault_once() throws IOException {
        // when
        Files.writeString(mPath, SETTINGS + "seeds = nowhere\n");
        // then
        ForwardSettings.Result changed = mFile.readChanged().orElseThrow();
        assertThat(changed.settings()).isEmpty();
        assertThat(changed.faults().toString()).contains("seeds", "nowhere");
        assertThat(mFile.readChanged()).isEmpty();
    }

    @Test
    public void a_file_that_is_missing_while_it_is_replaced_counts_as_unchanged()
            throws IOException {
        // when
        Files.delete(mPath);
        // then
        assertThat(mFile.readChanged()).isEmpty();
        assertThatThrownBy(mFile::read).isInstanceOf(IOException.class);
        Files.writeString(mPath, SETTINGS + "[log]\nlevel = WARN\n");
        assertThat(mFile.readChanged()).isPresent();
    }
}
