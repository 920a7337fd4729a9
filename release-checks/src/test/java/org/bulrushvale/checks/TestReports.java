package org.bulrushvale.checks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/**
 * Outcomes of the tests that ran in this build, read from the Surefire reports of all modules.
 *
 * <p>Invariant: a test that ran several times (data provider) has passed only when every run has.
 * Thread safety: not safe; used by one test thread.
 */
final class TestReports {
    private static final Pattern PARAMETERS = Pattern.compile("[\\[(].*", Pattern.DOTALL);

    private final Map<String, Boolean> mPassedByTest = new HashMap<>();

    private TestReports() {}

    static TestReports readBelow(Path root) throws IOException {
        TestReports reports = new TestReports();
        try (Stream<Path> modules = Files.list(root)) {
            for (Path module : modules.toList()) {
                Path folder = module.resolve("target/surefire-reports");
                if (Files.isDirectory(folder)) {
                    reports.readFolder(folder);
                }
            }
        }
        return reports;
    }

    /** Returns true when the test, written {@code Class#method}, ran and passed. */
    boolean hasPassed(String test) {
        return mPassedByTest.getOrDefault(test, false);
    }

    int size() {
        return mPassedByTest.size();
    }

    private void readFolder(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> reports =
                    files.filter(file -> file.getFileName().toString().matches("TEST-.*\\.xml"))
                            .toList();
            for (Path report : reports) {
                readReport(report);
            }
        }
    }

    private void readReport(Path report) throws IOException {
        NodeList cases;
        try {
            cases =
                    DocumentBuilderFactory.newInstance()
                            .newDocumentBuilder()
                            .parse(report.toFile())
                            .getElementsByTagName("testcase");
        } catch (ParserConfigurationException | SAXException e) {
            throw new IOException("cannot parse test report " + report.getFileName(), e);
        }
        for (int i = 0; i < cases.getLength(); i++) {
            recordResult((Element) cases.item(i));
        }
    }

    private void recordResult(Element testCase) {
        String className = testCase.getAttribute("classname");
        String simpleName = className.substring(className.lastIndexOf('.') + 1);
        String method = PARAMETERS.matcher(testCase.getAttribute("name")).replaceFirst("");
        boolean passed =
                testCase.getElementsByTagName("failure").getLength() == 0
                        && testCase.getElementsByTagName("error").getLength() == 0
                        && testCase.getElementsByTagName("skipped").getLength() == 0;
        mPassedByTest.merge(simpleName + "#" + method, passed, Boolean::logicalAnd);
    }
}
