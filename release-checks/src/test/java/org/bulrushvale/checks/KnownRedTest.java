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

/** Guards against a test that the build passes over without an entry in KNOWN-RED.txt. */
public class KnownRedTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern TAGGED =
            Pattern.compile(
                    "@Test\\([^)]*known" + "-red[^)]*\\)\\s*public void (\\w+)", Pattern.DOTALL);
    private static final Pattern SWITCHED_OFF =
            Pattern.compile("enabled\\s*=\\s*fal" + "se|new SkipExc" + "eption|@Ig" + "nore");
    private static final Pattern ENTRY = Pattern.compile("^([A-Z]\\w+#\\w+):.*");

    @Test
    public void tests_left_out_are_exactly_the_listed_ones() throws IOException {
        // given
        Set<String> tagged = new TreeSet<>();
        Set<String> switchedOff = new TreeSet<>();
        for (Path source : testSources()) {
            String type = source.getFileName().toString().replace(".java", "");
            String text = Files.readString(source);
            Matcher matcher = TAGGED.matcher(text);
            while (matcher.find()) {
                tagged.add(type + "#" + matcher.group(1));
            }
            if (SWITCHED_OFF.matcher(text).find()) {
                switchedOff.add(type);
            }
        }
        // then
        assertThat(tagged).isEqualTo(listed());
        assertThat(switchedOff).isEmpty();
    }

    private static Set<String> listed() throws IOException {
        Set<String> entries = new TreeSet<>();
        Path file = ROOT.resolve("KNOWN-RED.txt");
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file)) {
                Matcher entry = ENTRY.matcher(line);
                if (entry.matches()) {
                    entries.add(entry.group(1));
                }
            }
        }
        return entries;
    }

    private static List<Path> testSources() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(file -> file.toString().contains("/src/test/java/"))
                    .filter(file -> file.toString().endsWith(".java"))
                    .toList();
        }
    }
}
