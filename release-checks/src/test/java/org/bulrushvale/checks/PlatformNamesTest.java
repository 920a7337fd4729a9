package org.bulrushvale.checks;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Guards against names of the users' platform outside its adapter. */
public class PlatformNamesTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    // X-Deadline-Ms is a header of the product's own interface.
    private static final Pattern NAMES =
            Pattern.compile(
                    "Attempt-Id|Response-Stamp|Not-Executed|Expect-Instance|(?<!X-)Deadline-Ms"
                            + "|Token-Counts|Prefix-Hash|Piece-Key|op/config|op/evacuate"
                            + "|kv-range|kv-watch|stage-run|stage-free"
                            + "|org\\.bulrushvale\\.platform");

    @Test
    public void only_the_adapter_names_the_platform() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            List<String> naming =
                    files.filter(PlatformNamesTest::isProductSource)
                            .filter(file -> NAMES.matcher(read(file)).find())
                            .map(file -> ROOT.relativize(file).toString())
                            .toList();
            assertThat(naming).isEmpty();
        }
    }

    @Test
    public void the_adapter_itself_is_found_by_the_pattern() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT.resolve("platform/src/main"))) {
            assertThat(
                            files.filter(Files::isRegularFile)
                                    .filter(f -> NAMES.matcher(read(f)).find()))
                    .isNotEmpty();
        }
    }

    private static boolean isProductSource(Path file) {
        String name = ROOT.relativize(file).toString();
        return name.contains("src/main/")
                && name.endsWith(".java")
                && !name.startsWith("platform/");
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
