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

/** Guards against a guarantee whose proof is only claimed: its test is missing, skipped or red. */
public class GuaranteeTableTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern ROW = Pattern.compile("^\\| (G[1-9]|F[0-9]+) \\|.*");
    private static final Pattern TEST = Pattern.compile("`([A-Z]\\w+#\\w+)`");

    @Test
    public void every_row_of_the_guarantee_table_names_a_test_that_passed() throws IOException {
        // given
        TestReports reports = TestReports.readBelow(ROOT);
        List<String> missing = new ArrayList<>();
        Set<String> guarantees = new TreeSet<>();
        // when
        for (String line : Files.readAllLines(ROOT.resolve("docs/guarantees.md"))) {
            Matcher row = ROW.matcher(line);
            if (!row.matches()) {
                continue;
            }
            guarantees.add(row.group(1));
            missing.addAll(testsWithoutPass(line, reports));
        }
        // then
        assertThat(reports.size()).isPositive();
        assertThat(missing).as("proofs without a passed test").isEmpty();
        assertThat(guarantees).contains("G1", "G2", "G3", "G4", "G5", "G6", "G7", "G8", "G9");
    }

    private static List<String> testsWithoutPass(String line, TestReports reports) {
        Matcher test = TEST.matcher(line);
        List<String> missing = new ArrayList<>();
        boolean found = false;
        while (test.find()) {
            found = true;
            if (!reports.hasPassed(test.group(1))) {
                missing.add(test.group(1));
            }
        }
        if (!found) {
            missing.add("no test named in: " + line);
        }
        return missing;
    }
}
