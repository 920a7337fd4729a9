package org.bulrushvale.checks;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Guards against classes whose documentation does not state their thread safety. */
public class ClassDocTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    // The formatter may break the line between the two words, with an asterisk in the next line.
    private static final Pattern THREAD_SAFETY = Pattern.compile("Thread[\\s*]+safety:");

    @Test
    public void every_product_class_states_its_thread_safety() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            List<String> filesWithoutStatement =
                    files.filter(ClassDocTest::isProductClass)
                            .filter(file -> !THREAD_SAFETY.matcher(read(file)).find())
                            .map(file -> ROOT.relativize(file).toString())
                            .toList();
            assertThat(filesWithoutStatement).isEmpty();
        }
    }

    private static boolean isProductClass(Path file) {
        String name = file.toString();
        return name.contains("/src/main/java/")
                && name.endsWith(".java")
                && !name.endsWith("package-info.java");
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
