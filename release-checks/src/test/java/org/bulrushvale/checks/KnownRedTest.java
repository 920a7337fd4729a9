package org.bulrushvale.checks;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Guards against a test that the build skips although KNOWN-RED.txt does not list it: one of the
 * TestNG group for known failures, or one that is disabled in another way.
 */
public class KnownRedTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    // The literals of both patterns are split, so that this file does not match them.
    private static final Pattern TEST_IN_GROUP =
            Pattern.compile(
                    "@Test\\([^)]*known" + "-red[^)]*\\)\\s*public void (\\w+)", Pattern.DOTALL);
    private static final Pattern DISABLED_TEST =
            Pattern.compile("enabled\\s*=\\s*fal" + "se|new SkipExc" + "eption|@Ig" + "nore");
    private static final Pattern LIST_ENTRY = Pattern.compile("^([A-Z]\\w+#\\w+):.*");

    @Test
    public void tests_of_the_known_red_group_are_exactly_the_listed_ones() throws IOException {
        // given
        Set<String> testsInGroup = new TreeSet<>();
        Set<String> classesWithDisabledTests = new TreeSet<>();
        for (Path source : testSources()) {
            String className = source.getFileName().toString().replace(".java", "");
            String text = Files.readString(source);
            Matcher matcher = TEST_IN_GROUP.matcher(text);
            while (matcher.find()) {
                testsInGroup.add(className + "#" + matcher.group(1));
            }
            if (DISABLED_TEST.matcher(text).find()) {
                classesWithDisabledTests.add(className);
            }
        }
        // then
        assertThat(testsInGroup).isEqualTo(listedTests());
        assertThat(classesWithDisabledTests).isEmpty();
    }

    private static Set<String> listedTests() throws IOException {
        Set<String> tests = new TreeSet<>();
        Path file = ROOT.resolve("KNOWN-RED.txt");
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file)) {
                Matcher entry = LIST_ENTRY.matcher(line);
                if (entry.matches()) {
                    tests.add(entry.group(1));
                }
            }
        }
        return tests;
    }

    private static List<Path> testSources() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(file -> file.toString().contains("/src/test/java/"))
                    .filter(file -> file.toString().endsWith(".java"))
                    .toList();
        }
    }
}
