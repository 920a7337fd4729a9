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

/**
 * Guards against product code outside the module {@code platform} that uses names of the platform
 * on which the entries are deployed, such as its headers and paths.
 */
public class PlatformNamesTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    // X-Deadline-Ms is allowed, since it is a header of the product's own interface.
    private static final Pattern PLATFORM_NAMES =
            Pattern.compile(
                    "Attempt-Id|Response-Stamp|Not-Executed|Expect-Instance|(?<!X-)Deadline-Ms"
                            + "|Token-Counts|Prefix-Hash|Piece-Key|op/config|op/evacuate"
                            + "|kv-range|kv-watch|stage-run|stage-free"
                            + "|org\\.bulrushvale\\.platform");

    @Test
    public void only_the_platform_module_uses_names_of_the_platform() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            List<String> filesWithPlatformNames =
                    files.filter(PlatformNamesTest::isProductSource)
                            .filter(file -> PLATFORM_NAMES.matcher(read(file)).find())
                            .map(file -> ROOT.relativize(file).toString())
                            .toList();
            assertThat(filesWithPlatformNames).isEmpty();
        }
    }

    @Test
    public void the_pattern_finds_names_in_the_platform_module() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT.resolve("platform/src/main"))) {
            assertThat(
                            files.filter(Files::isRegularFile)
                                    .filter(f -> PLATFORM_NAMES.matcher(read(f)).find()))
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
