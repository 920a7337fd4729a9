import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What all cases share: their folder, the record and the exit status. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long LIMIT_MILLIS = 117_000;

    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Path mRoot = Path.of("").toAbsolutePath();
    final long mStartNanos = System.nanoTime();
    Path mWork;
    private PrintWriter mRecord;

    abstract int run() throws Exception;

    /** Runs the case of a folder: arguments are the folder and the temporary folder. */
    static void main(Case test, String[] args) throws IOException {
        Http.daemon(
                () -> {
                    try {
                        Thread.sleep(LIMIT_MILLIS);
                    } catch (InterruptedException e) {
                        return;
                    }
                    System.out.println("could not run: no end within " + LIMIT_MILLIS + " ms");
                    Runtime.getRuntime().halt(COULD_NOT_RUN);
                });
        int code = COULD_NOT_RUN;
        try (PrintWriter record =
                new PrintWriter(Files.newBufferedWriter(Path.of(args[0], "record.txt")), true)) {
            test.mRecord = record;
            test.mWork = Path.of(args[1]);
            test.note("trouble: " + test.mTrouble);
            code = test.run();
            test.note("exit " + code);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    long millis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000L;
    }

    synchronized void note(String text) {
        mRecord.println(String.format(Locale.ROOT, "%7.3f %s", millis() / 1e3, text));
    }

    int broken(String why) {
        note("BROKEN: " + why);
        System.out.println("broken: " + why);
        return BROKEN;
    }

    int held(String why) {
        note("HELD: " + why);
        System.out.println("held: " + why);
        return HELD;
    }

    int couldNotRun(String why) {
        note("COULD NOT RUN: " + why);
        System.out.println("could not run: " + why);
        return COULD_NOT_RUN;
    }

    static String server(String service, String address, String zone, int slots, String more) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\""
                + zone + "\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,\"born\":"
                + System.currentTimeMillis() + more + "}";
    }
}
