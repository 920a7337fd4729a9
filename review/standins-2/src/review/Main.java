package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs one case. The statuses differ from those of the JVM itself, which ends with 1 on an error of
 * its own; the script of a case translates them.
 */
final class Main {
    private Main() {}

    // Exit statuses by result: the rule held, it was broken, the case could not run.
    private static final int[] EXIT_STATUS = {10, 11, 12};

    private interface Case {
        int run(Path dir, Record record, boolean trouble) throws Exception;
    }

    public static void main(String[] args) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path dir = Files.createTempDirectory("review");
        int result = 2;
        try (Record record = new Record(Path.of(args[1], "record.txt"))) {
            record.line("case %s, trouble %s", args[0], trouble ? "on" : "off");
            Case toRun =
                    switch (args[0]) {
                        case "endless-body" -> EndlessBodyCase::run;
                        case "gone-runner" -> GoneRunnerCase::run;
                        case "poison-late" ->
                                (d, r, t) -> PoisonCase.run(PoisonCase.Variant.LATE, d, r, t);
                        case "poison-parallel" ->
                                (d, r, t) -> PoisonCase.run(PoisonCase.Variant.PARALLEL, d, r, t);
                        default -> throw new IllegalArgumentException(args[0]);
                    };
            try {
                result = toRun.run(dir, record, trouble);
            } catch (Exception e) {
                record.line("the case could not run: %s", e);
                for (Path log : logs(dir)) {
                    record.line("%s", Files.readString(log));
                }
            }
            record.line(
                    "%s", List.of("the rule held", "the rule was broken", "not run").get(result));
        } finally {
            try (Stream<Path> files = Files.walk(dir)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
        System.exit(EXIT_STATUS[result]);
    }

    private static List<Path> logs(Path dir) throws IOException {
        try (Stream<Path> files = Files.list(dir)) {
            return files.filter(file -> file.toString().endsWith(".log")).toList();
        }
    }
}
