package org.bulrushvale.checks;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Guards against a row of the guarantee table whose test does not exist, was skipped or failed. */
public class GuaranteeTableTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern GUARANTEE_ROW = Pattern.compile("^\\| (G[1-9]|F[0-9]+) \\|.*");
    private static final Pattern TEST_NAME = Pattern.compile("`([A-Z]\\w+#\\w+)`");

    @Test
    public void every_test_named_in_the_guarantee_table_has_passed() throws IOException {
        // given
        TestReports reports = TestReports.readBelow(ROOT);
        List<String> testsNotPassed = new ArrayList<>();
        Set<String> guaranteeIds = new TreeSet<>();
        // when
        for (String line : Files.readAllLines(ROOT.resolve("docs/guarantees.md"))) {
            Matcher row = GUARANTEE_ROW.matcher(line);
            if (!row.matches()) {
                continue;
            }
            guaranteeIds.add(row.group(1));
            testsNotPassed.addAll(testsWithoutPass(line, reports));
        }
        // then
        assertThat(reports.size()).isPositive();
        assertThat(testsNotPassed)
                .as("rows without a test, and tests that did not run and pass")
                .isEmpty();
        assertThat(guaranteeIds).contains("G1", "G2", "G3", "G4", "G5", "G6", "G7", "G8", "G9");
    }

    private static List<String> testsWithoutPass(String line, TestReports reports) {
        Matcher test = TEST_NAME.matcher(line);
        List<String> testsNotPassed = new ArrayList<>();
        boolean found = false;
        while (test.find()) {
            found = true;
            if (!reports.hasPassed(test.group(1))) {
                testsNotPassed.add(test.group(1));
            }
        }
        if (!found) {
            testsNotPassed.add("no test named in row: " + line);
        }
        return testsNotPassed;
    }
}
